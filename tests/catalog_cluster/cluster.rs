//! Simulation of replicas in a few failure domains, with their links and the platform.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use guavahold::catalog::{
    Catalog, CatalogHead, Declarations, Policy, ReleaseNote, Replica, ReplicaEffect, ReplicaEvent,
    ReplicaSettings, SnapshotRef, Trust,
};
use guavahold::peer::{BRIDGES_PER_DOMAIN, PeerInfo, PeerMessage, rendezvous_key};
use guavahold::prelude::Name;
use serde::{Deserialize, Serialize};

/// Simulated time of one step.
const STEP_TIME: Duration = Duration::from_millis(10);
/// Steps between two ticks of a replica.
const TICK_STEPS: u32 = 5;
/// Steps between two heartbeats of an entry.
const HEARTBEAT_STEPS: u32 = 50;
/// Time that a message between peers or a fast answer of the platform takes.
const LATENCY: Duration = Duration::from_millis(20);
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an attempt to open a watch fails when the platform is unreachable.
const WATCH_OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which an accepted note comes into force wherever a path exists.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);
/// Time after a fault begins or ends until links and watchers have settled.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time that an answer of the slow platform takes.
const SLOW_LATENCY: Duration = Duration::from_millis(1500);
const ENTRIES_PER_DOMAIN: usize = 3;

/// A step of a run: an operator's action, a fault, or time that passes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Time passes, in hundreds of milliseconds.
    Pass(u16),
    /// The platform accepts a number of notes, one after the other.
    Accept(u8),
    /// Two operators write a note for the same revision; one is accepted.
    Race,
    /// Two failure domains cannot reach each other.
    Cut(usize, usize),
    /// Two failure domains can reach each other again.
    Heal(usize, usize),
    /// A domain cannot reach the platform: its calls time out and its open watches receive nothing.
    CutPlatform(usize),
    /// A domain can reach the platform again, on new connections.
    HealPlatform(usize),
    /// A single entry cannot reach the platform.
    CutEntry(usize),
    /// A single entry can reach the platform again, on new connections.
    HealEntry(usize),
    /// The platform fails all calls and ends all watches.
    Down,
    /// The platform answers again.
    Up,
    /// The platform answers slowly.
    Slow,
    /// The platform answers fast again.
    Fast,
    /// The open watches of a domain receive nothing any more; new ones work.
    Silence(usize),
    /// An entry's process is restarted.
    Restart(usize),
    /// An entry receives the head of an older revision again, as many revisions back as given.
    OldEvent(usize, u8),
    /// Messages between peers are lost for half a second.
    LosePeers,
}

struct Node {
    name: Name,
    domain: usize,
    replica: Replica,
    started: Duration,
    live: Vec<Name>,
    /// When each linked peer was last reachable.
    links: BTreeMap<Name, Duration>,
    /// Whether the open watch receives events; `None` without a watch.
    watch: Option<bool>,
    /// Revision of the head that the entry received last; `u64::MAX` before the first.
    seen_revision: u64,
    /// Revision in force at the last check; `None` before the first check after a start.
    last_revision: Option<u64>,
}

/// Something that reaches an entry later, unless the entry's process was restarted since then; the
/// second field identifies the process.
enum Delivery {
    Event(usize, u64, ReplicaEvent),
    Opened(usize, u64),
}

/// A simulated cluster.
pub struct Cluster {
    now: Duration,
    steps: u32,
    nodes: Vec<Node>,
    domains: usize,
    cut: BTreeSet<(usize, usize)>,
    cut_platform: BTreeSet<usize>,
    cut_entries: BTreeSet<usize>,
    down: bool,
    slow: bool,
    lossy_until: Duration,
    faults_changed_at: Duration,
    /// Heads by revision.
    heads: Vec<CatalogHead>,
    /// Catalogs by revision.
    catalogs: Vec<Arc<Catalog>>,
    /// Time of acceptance by revision.
    accepted_at: Vec<Duration>,
    queue: BTreeMap<(Duration, u64), Delivery>,
    sequence: u64,
    boots: u64,
    /// Bytes of notes and catalogs sent between peers.
    pub relayed_bytes: usize,
    /// Attempts to open a watch.
    pub watch_opens: usize,
}

impl Cluster {
    pub fn new(domains: usize) -> Self {
        let mut cluster = Self {
            now: Duration::ZERO,
            steps: 0,
            nodes: Vec::new(),
            domains,
            cut: BTreeSet::new(),
            cut_platform: BTreeSet::new(),
            cut_entries: BTreeSet::new(),
            down: false,
            slow: false,
            lossy_until: Duration::ZERO,
            faults_changed_at: Duration::ZERO,
            heads: vec![CatalogHead::default()],
            catalogs: vec![Arc::default()],
            accepted_at: vec![Duration::ZERO],
            queue: BTreeMap::new(),
            sequence: 0,
            boots: 0,
            relayed_bytes: 0,
            watch_opens: 0,
        };
        for domain in 0..domains {
            for n in 0..ENTRIES_PER_DOMAIN {
                let name = format!("{}{n}", char::from(b'a' + u8::try_from(domain).unwrap()));
                let node = cluster.start_node(name.into(), domain);
                cluster.nodes.push(node);
            }
        }
        cluster
    }

    pub fn entries(&self) -> usize {
        self.nodes.len()
    }

    fn start_node(&mut self, name: Name, domain: usize) -> Node {
        self.boots += 1;
        let settings = ReplicaSettings {
            name: name.clone(),
            domain: domain_name(domain),
            seed: self.boots,
        };
        Node {
            name,
            domain,
            replica: Replica::new(settings),
            started: self.now,
            live: Vec::new(),
            links: BTreeMap::new(),
            watch: None,
            seen_revision: u64::MAX,
            last_revision: None,
        }
    }

    /// Revision, readiness and watch of every entry.
    pub fn outcome(&self) -> Vec<String> {
        let nodes = self.nodes.iter();
        nodes
            .map(|n| {
                let ready = if n.replica.is_ready() {
                    "ready"
                } else {
                    "not ready"
                };
                let watching = if n.replica.is_watching() {
                    ", watching"
                } else {
                    ""
                };
                format!(
                    "{} {} {ready}{watching}",
                    n.name,
                    n.replica.catalog().revision
                )
            })
            .collect()
    }

    pub fn apply(&mut self, step: &Step) {
        match *step {
            Step::Pass(tenths) => {
                for _ in 0..u32::from(tenths) * 10 {
                    self.advance();
                }
            }
            Step::Accept(count) => (0..count).for_each(|_| self.accept_note()),
            Step::Race => self.race(),
            Step::Cut(a, b) if a != b => self.change_faults(|c| c.cut.insert(pair(a, b))),
            Step::Heal(a, b) => self.change_faults(|c| c.cut.remove(&pair(a, b))),
            Step::CutPlatform(domain) => {
                self.change_faults(|c| c.cut_platform.insert(domain));
                self.silence(domain);
            }
            Step::HealPlatform(domain) => self.change_faults(|c| c.cut_platform.remove(&domain)),
            Step::CutEntry(n) => {
                self.change_faults(|c| c.cut_entries.insert(n));
                if self.nodes[n].watch.is_some() {
                    self.nodes[n].watch = Some(false);
                }
            }
            Step::HealEntry(n) => self.change_faults(|c| c.cut_entries.remove(&n)),
            Step::Down => self.go_down(),
            Step::Up => self.change_faults(|c| c.down = false),
            Step::Slow => self.change_faults(|c| c.slow = true),
            Step::Fast => self.change_faults(|c| c.slow = false),
            Step::Silence(domain) => self.silence(domain),
            Step::Restart(n) => self.restart(n),
            Step::OldEvent(n, back) => self.old_event(n, back),
            Step::LosePeers => {
                self.lossy_until = self.now + Duration::from_millis(500);
                self.faults_changed_at = self.now;
            }
            Step::Cut(..) => {}
        }
    }

    /// Changes the faults and notes the time, from which links and watchers settle.
    fn change_faults<T>(&mut self, change: impl FnOnce(&mut Self) -> T) {
        change(self);
        self.faults_changed_at = self.now;
    }

    fn accept_note(&mut self) {
        if self.down {
            return;
        }
        let base = self.catalogs.last().unwrap().clone();
        let note = note(base.revision, "shift");
        let next = Arc::new(base.apply(&note).unwrap());
        let mut head = self.heads.last().unwrap().clone();
        head.revision = next.revision;
        head.tail.push(note);
        if head.tail.len() > CatalogHead::MAX_NOTES_SINCE_SNAPSHOT {
            head.snapshot = SnapshotRef {
                revision: next.revision,
                id: next.revision.to_string().into(),
                parts: 1,
            };
            head.tail
                .drain(..head.tail.len() - CatalogHead::TAIL_AFTER_SNAPSHOT);
        }
        self.heads.push(head.clone());
        self.catalogs.push(next);
        self.accepted_at.push(self.now);
        for n in 0..self.nodes.len() {
            if self.nodes[n].watch == Some(true) {
                self.nodes[n].seen_revision = head.revision;
                self.post(LATENCY, n, ReplicaEvent::Head(head.clone()));
            }
        }
    }

    /// Accepts one of two notes for the same revision; the other one must not apply any more.
    fn race(&mut self) {
        let before = self.catalogs.len();
        self.accept_note();
        let refused = note(self.catalogs[before - 1].revision, "other");
        let current = self.catalogs.last().unwrap();
        assert!(self.down || current.apply(&refused).is_err());
    }

    fn go_down(&mut self) {
        self.change_faults(|c| c.down = true);
        for n in 0..self.nodes.len() {
            if self.nodes[n].watch.take().is_some() {
                self.post(LATENCY, n, ReplicaEvent::WatchFailed);
            }
        }
    }

    fn silence(&mut self, domain: usize) {
        let nodes = self.nodes.iter_mut().filter(|n| n.domain == domain);
        for node in nodes.filter(|n| n.watch.is_some()) {
            node.watch = Some(false);
        }
    }

    fn restart(&mut self, n: usize) {
        let (name, domain) = (self.nodes[n].name.clone(), self.nodes[n].domain);
        self.nodes[n] = self.start_node(name, domain);
        self.faults_changed_at = self.now;
    }

    fn old_event(&mut self, n: usize, back: u8) {
        let newest = self.heads.len() - 1;
        let old = self.heads[newest.saturating_sub(usize::from(back))].clone();
        self.post(LATENCY, n, ReplicaEvent::Head(old));
    }

    fn post(&mut self, after: Duration, n: usize, event: ReplicaEvent) {
        let at = (self.now + after, self.sequence);
        let incarnation = self.incarnation(n);
        self.queue
            .insert(at, Delivery::Event(n, incarnation, event));
        self.sequence += 1;
    }

    /// Identifies the entry's process by the time at which it was started.
    fn incarnation(&self, n: usize) -> u64 {
        u64::try_from(self.nodes[n].started.as_millis()).unwrap()
    }

    fn advance(&mut self) {
        self.now += STEP_TIME;
        self.steps += 1;
        let due = self
            .queue
            .split_off(&(self.now + Duration::from_nanos(1), 0));
        let due = std::mem::replace(&mut self.queue, due);
        for delivery in due.into_values() {
            match delivery {
                Delivery::Event(n, started, event) if started == self.incarnation(n) => {
                    self.handle(n, event);
                }
                Delivery::Opened(n, started) if started == self.incarnation(n) => self.on_opened(n),
                _ => {}
            }
        }
        for n in 0..self.nodes.len() {
            if (self.steps + u32::try_from(n).unwrap()).is_multiple_of(TICK_STEPS) {
                self.update_links(n);
                self.handle(n, ReplicaEvent::Tick);
            }
            if (self.steps + 7 * u32::try_from(n).unwrap()).is_multiple_of(HEARTBEAT_STEPS) {
                self.send_heartbeat(n);
            }
        }
        self.check();
    }

    fn domains_connected(&self, a: &Node, b: &Node) -> bool {
        a.domain == b.domain || !self.cut.contains(&pair(a.domain, b.domain))
    }

    fn is_bridge(&self, node: &Node) -> bool {
        let in_domain = self.nodes.iter().filter(|o| o.domain == node.domain);
        let key = |n: &Node| rendezvous_key(&domain_name(n.domain), &n.name);
        in_domain.filter(|o| key(o) < key(node)).count() < BRIDGES_PER_DOMAIN
    }

    fn is_linked(&self, a: &Node, b: &Node) -> bool {
        a.name != b.name
            && (a.domain == b.domain || (self.is_bridge(a) && self.is_bridge(b)))
            && self.domains_connected(a, b)
    }

    /// Links come up at once; links to unreachable peers go down after the peer timeout.
    fn update_links(&mut self, n: usize) {
        let now = self.now;
        let linked: Vec<_> = self
            .nodes
            .iter()
            .filter(|o| self.is_linked(&self.nodes[n], o))
            .map(|o| o.name.clone())
            .collect();
        let links = &mut self.nodes[n].links;
        links.extend(linked.into_iter().map(|name| (name, now)));
        links.retain(|_, reachable_at| now < *reachable_at + PEER_TIMEOUT);
        let live: Vec<_> = links.keys().cloned().collect();
        if live != self.nodes[n].live {
            let infos = live.iter().map(|name| PeerInfo {
                name: name.clone(),
                domain: domain_name(usize::from(name.as_bytes()[0] - b'a')),
                revision: 0,
                since_ms: 0,
                draining: false,
            });
            let infos = infos.collect();
            self.nodes[n].live = live;
            self.handle(n, ReplicaEvent::PeersChanged(infos));
        }
    }

    fn send_heartbeat(&mut self, n: usize) {
        let node = &self.nodes[n];
        let heartbeat = PeerMessage::Heartbeat {
            revision: node.replica.catalog().revision,
            since_ms: 0,
            draining: false,
            watching: node.replica.is_watching(),
        };
        for to in node.live.clone() {
            self.send(n, &to, &heartbeat);
        }
    }

    fn send(&mut self, n: usize, to: &str, message: &PeerMessage) {
        let to = self.nodes.iter().position(|o| &*o.name == to).unwrap();
        if self.now < self.lossy_until || !self.is_linked(&self.nodes[n], &self.nodes[to]) {
            return;
        }
        let from = self.nodes[n].name.clone();
        let event = match message.clone() {
            PeerMessage::Heartbeat {
                revision, watching, ..
            } => ReplicaEvent::Heartbeat {
                from,
                revision,
                watching,
            },
            PeerMessage::Notes(notes) => ReplicaEvent::Notes { from, notes },
            PeerMessage::WantCatalog => ReplicaEvent::CatalogRequest(from),
            PeerMessage::WholeCatalog(catalog) => ReplicaEvent::Catalog { from, catalog },
            other => panic!("unexpected {other:?}"),
        };
        if !matches!(event, ReplicaEvent::Heartbeat { .. }) {
            self.relayed_bytes += guavahold::peer::encode(message).len();
        }
        self.post(LATENCY, to, event);
    }

    fn handle(&mut self, n: usize, event: ReplicaEvent) {
        let mut effects = Vec::new();
        let now = self.now.saturating_sub(self.nodes[n].started);
        self.nodes[n].replica.on(now, event, &mut effects);
        for effect in effects {
            match effect {
                ReplicaEffect::Install(_) => {}
                ReplicaEffect::Send { to, message } => self.send(n, &to, &message),
                ReplicaEffect::OpenWatch => self.open_watch(n),
                ReplicaEffect::CloseWatch => self.nodes[n].watch = None,
                ReplicaEffect::ReadHead => self.nodes[n].seen_revision = u64::MAX,
                ReplicaEffect::ReadSnapshot(at) => self.read_snapshot(n, &at),
                ReplicaEffect::Announce => self.send_heartbeat(n),
            }
        }
    }

    fn open_watch(&mut self, n: usize) {
        self.watch_opens += 1;
        if self.down {
            self.post(LATENCY, n, ReplicaEvent::WatchFailed);
        } else if !self.reaches_platform(n) {
            self.post(WATCH_OPEN_TIMEOUT, n, ReplicaEvent::WatchFailed);
        } else {
            let answer = if self.slow { SLOW_LATENCY } else { LATENCY };
            let at = (self.now + answer, self.sequence);
            let incarnation = self.incarnation(n);
            self.queue.insert(at, Delivery::Opened(n, incarnation));
            self.sequence += 1;
        }
    }

    fn on_opened(&mut self, n: usize) {
        if self.down {
            self.handle(n, ReplicaEvent::WatchFailed);
            return;
        }
        self.nodes[n].watch = Some(self.reaches_platform(n));
        let head = self.heads.last().unwrap().clone();
        if self.nodes[n].seen_revision != head.revision {
            self.nodes[n].seen_revision = head.revision;
            self.handle(n, ReplicaEvent::Head(head));
        }
        self.handle(n, ReplicaEvent::WatchOpened);
    }

    fn read_snapshot(&mut self, n: usize, at: &SnapshotRef) {
        let reachable = !self.down && self.reaches_platform(n);
        let catalog = self.catalogs[usize::try_from(at.revision).unwrap()].clone();
        let read = reachable.then_some(catalog);
        self.post(LATENCY, n, ReplicaEvent::Snapshot(read));
    }

    fn reaches_platform(&self, n: usize) -> bool {
        let domain = self.nodes[n].domain;
        !self.cut_platform.contains(&domain) && !self.cut_entries.contains(&n)
    }

    /// Entries that reach the platform directly or through linked peers.
    fn connected_to_platform(&self) -> BTreeSet<usize> {
        let mut frontier: VecDeque<usize> = VecDeque::new();
        if !self.down {
            frontier.extend((0..self.nodes.len()).filter(|n| self.reaches_platform(*n)));
        }
        let mut seen: BTreeSet<usize> = frontier.iter().copied().collect();
        while let Some(n) = frontier.pop_front() {
            for other in 0..self.nodes.len() {
                if self.is_linked(&self.nodes[n], &self.nodes[other]) && seen.insert(other) {
                    frontier.push_back(other);
                }
            }
        }
        seen
    }

    /// Checks that every catalog in force was accepted and that no revision decreases. Once the
    /// faults have settled, also that entries with a path to the platform are ready and have each
    /// note in force in time.
    fn check(&mut self) {
        for node in &mut self.nodes {
            let catalog = node.replica.catalog();
            let accepted = &self.catalogs[usize::try_from(catalog.revision).unwrap()];
            assert_eq!(
                catalog, accepted,
                "{} has a catalog in force that was never accepted",
                node.name
            );
            let last_revision = *node.last_revision.get_or_insert(catalog.revision);
            assert!(
                catalog.revision >= last_revision,
                "the revision of {} decreased",
                node.name
            );
            node.last_revision = Some(catalog.revision);
        }
        let settled = self.now >= self.faults_changed_at + SETTLE_TIME + IN_FORCE_LIMIT;
        if !settled || !self.steps.is_multiple_of(TICK_STEPS) {
            return;
        }
        let due = self.accepted_at.iter();
        let due = due
            .take_while(|at| **at + IN_FORCE_LIMIT <= self.now)
            .count()
            - 1;
        for n in self.connected_to_platform() {
            let node = &self.nodes[n];
            let revision = node.replica.catalog().revision;
            assert!(
                usize::try_from(revision).unwrap() >= due,
                "{} has revision {revision} in force, but {due} was accepted 3 s ago",
                node.name
            );
            assert!(
                due == 0 || node.replica.is_ready(),
                "{} is not ready",
                node.name
            );
        }
    }
}

fn domain_name(n: usize) -> Name {
    char::from(b'a' + u8::try_from(n).unwrap())
        .to_string()
        .into()
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

/// The first note adds a policy, the second one trust in a target; later ones change that trust.
fn note(against: u64, by: &str) -> ReleaseNote {
    let trust = |checks_fencing| Declarations {
        trust: [("engine-1".into(), Trust { checks_fencing })].into(),
        ..Declarations::default()
    };
    let mut note = ReleaseNote {
        against,
        by: by.into(),
        id: format!("{by}-{against}").into(),
        ..ReleaseNote::default()
    };
    match against {
        0 => note.added.policies = [("quick".into(), Policy::default())].into(),
        1 => note.added = trust(false),
        n => note.changed = trust(n % 2 == 0),
    }
    note
}
