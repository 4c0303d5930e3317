//! Simulation of replicas in a few failure domains, with their links and the platform.
#![allow(dead_code)]

mod checks;
mod links;
mod platform;
mod step;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use guavahold::catalog::{
    Catalog, CatalogHead, Replica, ReplicaEffect, ReplicaEvent, ReplicaSettings,
};
use guavahold::prelude::Name;
pub use step::Step;

/// Simulated time of one step.
const STEP_TIME: Duration = Duration::from_millis(10);
/// Steps between two ticks of a replica.
const TICK_STEPS: u32 = 5;
/// Steps between two heartbeats of an entry.
const HEARTBEAT_STEPS: u32 = 50;
/// Time that a message between peers or a fast answer of the platform takes.
const LATENCY: Duration = Duration::from_millis(20);
const ENTRIES_PER_DOMAIN: usize = 3;

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

    fn restart(&mut self, n: usize) {
        let (name, domain) = (self.nodes[n].name.clone(), self.nodes[n].domain);
        self.nodes[n] = self.start_node(name, domain);
        self.faults_changed_at = self.now;
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
}

fn domain_name(n: usize) -> Name {
    char::from(b'a' + u8::try_from(n).unwrap())
        .to_string()
        .into()
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}
