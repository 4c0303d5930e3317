//! Replicas of a few failure domains with a small fake of platform and links.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use guavahold::catalog::{
    Catalog, CatalogHead, Policy, ReleaseNote, Replica, ReplicaEffect, ReplicaEvent,
    ReplicaSettings, Section, SnapshotRef, Trust,
};
use guavahold::peer::{GATEWAYS, PeerInfo, PeerMessage, rank_key};
use guavahold::prelude::Name;
use serde::{Deserialize, Serialize};

const STEP: Duration = Duration::from_millis(10);
const TICK: u32 = 5;
const BEAT: u32 = 50;
const LATENCY: Duration = Duration::from_millis(20);
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which an accepted note is in force wherever a path exists.
const IN_FORCE: Duration = Duration::from_secs(3);
/// Time after a change of faults until links and watchers have settled.
const SETTLED: Duration = Duration::from_secs(5);
/// Time that a slow platform takes to answer.
const SLOW_ANSWER: Duration = Duration::from_millis(1500);
const ENTRIES: usize = 3;

/// Something that operators, faults or the clock do.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Time passes, in hundreds of milliseconds.
    Pass(u16),
    /// Operators have notes accepted one after the other.
    Accept(u8),
    /// Two operators race with a note for the same revision.
    Race,
    /// Two failure domains cannot reach each other.
    Cut(usize, usize),
    /// They can again.
    Heal(usize, usize),
    /// A domain cannot reach the platform: calls and open watches are silent.
    CutPlatform(usize),
    /// It can again, on new connections.
    HealPlatform(usize),
    /// A single entry cannot reach the platform.
    CutEntry(usize),
    /// It can again, on new connections.
    HealEntry(usize),
    /// The platform refuses everything.
    Down,
    /// It answers again.
    Up,
    /// The platform takes long to answer calls.
    Slow,
    /// It answers fast again.
    Fast,
    /// Open watches of a domain go silent, new ones work.
    Silence(usize),
    /// An entry's process is replaced.
    Restart(usize),
    /// An entry sees the head of an older revision again.
    OldEvent(usize, u8),
    /// Messages between peers are lost for the next half second.
    LosePeers,
}

struct Node {
    name: Name,
    domain: usize,
    replica: Replica,
    started: Duration,
    live: Vec<Name>,
    links: BTreeMap<Name, Duration>,
    watch: Option<bool>,
    seen: u64,
    floor: Option<u64>,
}

enum Delivery {
    Event(usize, u64, ReplicaEvent),
    Opened(usize, u64),
}

/// The cluster.
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
    changed_at: Duration,
    heads: Vec<CatalogHead>,
    catalogs: Vec<Arc<Catalog>>,
    accepted_at: Vec<Duration>,
    queue: BTreeMap<(Duration, u64), Delivery>,
    sequence: u64,
    boots: u64,
    /// Bytes of notes and catalogs sent between peers.
    pub relayed: usize,
    /// Watches opened.
    pub opens: usize,
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
            changed_at: Duration::ZERO,
            heads: vec![CatalogHead::default()],
            catalogs: vec![Arc::default()],
            accepted_at: vec![Duration::ZERO],
            queue: BTreeMap::new(),
            sequence: 0,
            boots: 0,
            relayed: 0,
            opens: 0,
        };
        for domain in 0..domains {
            for n in 0..ENTRIES {
                let name = format!("{}{n}", char::from(b'a' + u8::try_from(domain).unwrap()));
                let node = cluster.boot(name.into(), domain);
                cluster.nodes.push(node);
            }
        }
        cluster
    }

    pub fn entries(&self) -> usize {
        self.nodes.len()
    }

    fn boot(&mut self, name: Name, domain: usize) -> Node {
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
            seen: u64::MAX,
            floor: None,
        }
    }

    /// Revision and readiness of every entry.
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
                    self.pass();
                }
            }
            Step::Accept(count) => (0..count).for_each(|_| self.accept()),
            Step::Race => self.race(),
            Step::Cut(a, b) if a != b => self.fault(|c| c.cut.insert(pair(a, b))),
            Step::Heal(a, b) => self.fault(|c| c.cut.remove(&pair(a, b))),
            Step::CutPlatform(domain) => {
                self.fault(|c| c.cut_platform.insert(domain));
                self.silence(domain);
            }
            Step::HealPlatform(domain) => self.fault(|c| c.cut_platform.remove(&domain)),
            Step::CutEntry(n) => {
                self.fault(|c| c.cut_entries.insert(n));
                if self.nodes[n].watch.is_some() {
                    self.nodes[n].watch = Some(false);
                }
            }
            Step::HealEntry(n) => self.fault(|c| c.cut_entries.remove(&n)),
            Step::Down => self.go_down(),
            Step::Up => self.fault(|c| c.down = false),
            Step::Slow => self.fault(|c| c.slow = true),
            Step::Fast => self.fault(|c| c.slow = false),
            Step::Silence(domain) => self.silence(domain),
            Step::Restart(n) => self.restart(n),
            Step::OldEvent(n, back) => self.old_event(n, back),
            Step::LosePeers => {
                self.lossy_until = self.now + Duration::from_millis(500);
                self.changed_at = self.now;
            }
            Step::Cut(..) => {}
        }
    }

    fn fault<T>(&mut self, change: impl FnOnce(&mut Self) -> T) {
        change(self);
        self.changed_at = self.now;
    }

    fn accept(&mut self) {
        if self.down {
            return;
        }
        let base = self.catalogs.last().unwrap().clone();
        let note = note(base.revision, "shift");
        let next = Arc::new(base.apply(&note).unwrap());
        let mut head = self.heads.last().unwrap().clone();
        head.revision = next.revision;
        head.tail.push(note);
        if head.tail.len() > CatalogHead::TAIL {
            head.snapshot = SnapshotRef {
                revision: next.revision,
                id: next.revision.to_string().into(),
                parts: 1,
            };
            head.tail.drain(..head.tail.len() - CatalogHead::KEPT);
        }
        self.heads.push(head.clone());
        self.catalogs.push(next);
        self.accepted_at.push(self.now);
        for n in 0..self.nodes.len() {
            if self.nodes[n].watch == Some(true) {
                self.nodes[n].seen = head.revision;
                self.post(LATENCY, n, ReplicaEvent::Head(head.clone()));
            }
        }
    }

    /// Only one of two notes for a revision is accepted; the other leaves no trace.
    fn race(&mut self) {
        let before = self.catalogs.len();
        self.accept();
        let refused = note(self.catalogs[before - 1].revision, "other");
        let current = self.catalogs.last().unwrap();
        assert!(self.down || current.apply(&refused).is_err());
    }

    fn go_down(&mut self) {
        self.fault(|c| c.down = true);
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
        self.nodes[n] = self.boot(name, domain);
        self.changed_at = self.now;
    }

    fn old_event(&mut self, n: usize, back: u8) {
        let newest = self.heads.len() - 1;
        let old = self.heads[newest.saturating_sub(usize::from(back))].clone();
        self.post(LATENCY, n, ReplicaEvent::Head(old));
    }

    fn post(&mut self, after: Duration, n: usize, event: ReplicaEvent) {
        let at = (self.now + after, self.sequence);
        let seed = self.incarnation(n);
        self.queue.insert(at, Delivery::Event(n, seed, event));
        self.sequence += 1;
    }

    fn incarnation(&self, n: usize) -> u64 {
        u64::try_from(self.nodes[n].started.as_millis()).unwrap()
    }

    fn pass(&mut self) {
        self.now += STEP;
        self.steps += 1;
        let due = self
            .queue
            .split_off(&(self.now + Duration::from_nanos(1), 0));
        let due = std::mem::replace(&mut self.queue, due);
        for delivery in due.into_values() {
            match delivery {
                Delivery::Event(n, seed, event) if seed == self.incarnation(n) => {
                    self.handle(n, event);
                }
                Delivery::Opened(n, seed) if seed == self.incarnation(n) => self.opened(n),
                _ => {}
            }
        }
        for n in 0..self.nodes.len() {
            if (self.steps + u32::try_from(n).unwrap()).is_multiple_of(TICK) {
                self.meet(n);
                self.handle(n, ReplicaEvent::Tick);
            }
            if (self.steps + 7 * u32::try_from(n).unwrap()).is_multiple_of(BEAT) {
                self.beat(n);
            }
        }
        self.check();
    }

    fn reaches(&self, a: &Node, b: &Node) -> bool {
        a.domain == b.domain || !self.cut.contains(&pair(a.domain, b.domain))
    }

    fn is_gateway(&self, node: &Node) -> bool {
        let same = self.nodes.iter().filter(|o| o.domain == node.domain);
        let key = |n: &Node| rank_key(&domain_name(n.domain), &n.name);
        same.filter(|o| key(o) < key(node)).count() < GATEWAYS
    }

    fn linked(&self, a: &Node, b: &Node) -> bool {
        a.name != b.name
            && (a.domain == b.domain || (self.is_gateway(a) && self.is_gateway(b)))
            && self.reaches(a, b)
    }

    /// Links come up at once and go down after the peer timeout.
    fn meet(&mut self, n: usize) {
        let now = self.now;
        let linked: Vec<_> = self
            .nodes
            .iter()
            .filter(|o| self.linked(&self.nodes[n], o))
            .map(|o| o.name.clone())
            .collect();
        let links = &mut self.nodes[n].links;
        links.extend(linked.into_iter().map(|name| (name, now)));
        links.retain(|_, heard| now < *heard + PEER_TIMEOUT);
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
            self.handle(n, ReplicaEvent::Peers(infos));
        }
    }

    fn beat(&mut self, n: usize) {
        let node = &self.nodes[n];
        let beat = PeerMessage::Heartbeat {
            revision: node.replica.catalog().revision,
            since_ms: 0,
            draining: false,
            watching: node.replica.is_watching(),
        };
        for to in node.live.clone() {
            self.send(n, &to, &beat);
        }
    }

    fn send(&mut self, n: usize, to: &str, message: &PeerMessage) {
        let to = self.nodes.iter().position(|o| &*o.name == to).unwrap();
        if self.now < self.lossy_until || !self.linked(&self.nodes[n], &self.nodes[to]) {
            return;
        }
        let from = self.nodes[n].name.clone();
        let event = match message.clone() {
            PeerMessage::Heartbeat {
                revision, watching, ..
            } => ReplicaEvent::Beat {
                from,
                revision,
                watching,
            },
            PeerMessage::Notes(notes) => ReplicaEvent::Notes { from, notes },
            PeerMessage::WantCatalog => ReplicaEvent::Wanted(from),
            PeerMessage::WholeCatalog(catalog) => ReplicaEvent::Whole { from, catalog },
            other => panic!("unexpected {other:?}"),
        };
        if !matches!(event, ReplicaEvent::Beat { .. }) {
            self.relayed += guavahold::peer::encode(message).len();
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
                ReplicaEffect::OpenWatch => self.open(n),
                ReplicaEffect::CloseWatch => self.nodes[n].watch = None,
                ReplicaEffect::ReadHead => self.nodes[n].seen = u64::MAX,
                ReplicaEffect::ReadSnapshot(at) => self.read_snapshot(n, &at),
                ReplicaEffect::Announce => self.beat(n),
            }
        }
    }

    fn open(&mut self, n: usize) {
        self.opens += 1;
        if self.down {
            self.post(LATENCY, n, ReplicaEvent::WatchFailed);
        } else if !self.is_served(n) {
            self.post(OPEN_TIMEOUT, n, ReplicaEvent::WatchFailed);
        } else {
            let answer = if self.slow { SLOW_ANSWER } else { LATENCY };
            let at = (self.now + answer, self.sequence);
            let seed = self.incarnation(n);
            self.queue.insert(at, Delivery::Opened(n, seed));
            self.sequence += 1;
        }
    }

    fn opened(&mut self, n: usize) {
        if self.down {
            self.handle(n, ReplicaEvent::WatchFailed);
            return;
        }
        self.nodes[n].watch = Some(self.is_served(n));
        let head = self.heads.last().unwrap().clone();
        if self.nodes[n].seen != head.revision {
            self.nodes[n].seen = head.revision;
            self.handle(n, ReplicaEvent::Head(head));
        }
        self.handle(n, ReplicaEvent::WatchOpened);
    }

    fn read_snapshot(&mut self, n: usize, at: &SnapshotRef) {
        let reachable = !self.down && self.is_served(n);
        let catalog = self.catalogs[usize::try_from(at.revision).unwrap()].clone();
        let read = reachable.then_some(catalog);
        self.post(LATENCY, n, ReplicaEvent::Snapshot(read));
    }

    fn is_served(&self, n: usize) -> bool {
        let domain = self.nodes[n].domain;
        !self.cut_platform.contains(&domain) && !self.cut_entries.contains(&n)
    }

    /// Entries with a path to the platform, through peers or directly.
    fn connected(&self) -> BTreeSet<usize> {
        let mut found: VecDeque<usize> = VecDeque::new();
        if !self.down {
            found.extend((0..self.nodes.len()).filter(|n| self.is_served(*n)));
        }
        let mut seen: BTreeSet<usize> = found.iter().copied().collect();
        while let Some(n) = found.pop_front() {
            for other in 0..self.nodes.len() {
                if self.linked(&self.nodes[n], &self.nodes[other]) && seen.insert(other) {
                    found.push_back(other);
                }
            }
        }
        seen
    }

    fn check(&mut self) {
        for node in &mut self.nodes {
            let catalog = node.replica.catalog();
            let accepted = &self.catalogs[usize::try_from(catalog.revision).unwrap()];
            assert_eq!(
                catalog, accepted,
                "{} holds what was never accepted",
                node.name
            );
            let floor = *node.floor.get_or_insert(catalog.revision);
            assert!(catalog.revision >= floor, "{} stepped back", node.name);
            node.floor = Some(catalog.revision);
        }
        let settled = self.now >= self.changed_at + SETTLED + IN_FORCE;
        if !settled || !self.steps.is_multiple_of(TICK) {
            return;
        }
        let due = self.accepted_at.iter();
        let due = due.take_while(|at| **at + IN_FORCE <= self.now).count() - 1;
        for n in self.connected() {
            let node = &self.nodes[n];
            let revision = node.replica.catalog().revision;
            assert!(
                usize::try_from(revision).unwrap() >= due,
                "{} has {revision} in force, {due} was accepted 3 s ago",
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

/// The first note adds a policy, later ones turn a target's trust on and off.
fn note(against: u64, by: &str) -> ReleaseNote {
    let trust = |checks_fencing| Section {
        trust: [("engine-1".into(), Trust { checks_fencing })].into(),
        ..Section::default()
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
