//! Simulated entries under partitions, restarts, silent connections and outdated lists of VMs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use guavahold::peer::{
    BRIDGES_PER_DOMAIN, CloseReason, MemberEffect, MemberEvent, Membership, MembershipSettings,
    PeerConnection, rendezvous_key,
};
use guavahold::platform::{Role, Vm, VmPhase};
use guavahold::prelude::Name;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Simulated time of one step.
const STEP_TIME: Duration = Duration::from_millis(50);
/// Steps between two heartbeats of an entry.
const HEARTBEAT_STEPS: u32 = 10;
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Steps, of 50 ms each, after the last fault until every required link has to work; the longest
/// delay between two dials of an address is 5 s.
const SETTLE_STEPS: u32 = 300;

#[derive(Clone, Debug)]
enum Step {
    /// A number of steps pass without a fault.
    Pass(u32),
    /// Two entries cannot reach each other: messages are lost and dialling fails.
    Cut(usize, usize),
    Heal(usize, usize),
    /// Open connections between two entries lose all messages; new ones work.
    Silence(usize, usize),
    Restart(usize),
    /// The second entry is missing from the first one's list of VMs until the end of the faults.
    Unlist(usize, usize),
}

struct Node {
    name: Name,
    domain: Name,
    boot: u64,
    state: Membership,
}

/// A connection between two entries; both ends use the same number for it.
struct Conn {
    ends: (usize, usize),
    boots: (u64, u64),
    silent: bool,
}

struct Net {
    now: Duration,
    steps: u32,
    nodes: Vec<Node>,
    conns: BTreeMap<u64, Conn>,
    cut: BTreeSet<(usize, usize)>,
    unlisted: BTreeSet<(usize, usize)>,
    accepted: Vec<(usize, PeerConnection)>,
    dialled: Vec<(usize, PeerConnection)>,
    boots: u64,
}

impl Net {
    fn new(domains: usize, each: usize) -> Self {
        let mut net = Self {
            now: Duration::ZERO,
            steps: 0,
            nodes: Vec::new(),
            conns: BTreeMap::new(),
            cut: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            accepted: Vec::new(),
            dialled: Vec::new(),
            boots: 0,
        };
        for n in 0..domains * each {
            let domain = format!("d{:02}", n / each);
            net.boots += 1;
            net.nodes.push(Node {
                name: format!("{domain}-{}", n % each).into(),
                domain: domain.as_str().into(),
                boot: net.boots,
                state: Membership::new(settings(
                    &format!("{domain}-{}", n % each),
                    &domain,
                    net.boots,
                )),
            });
        }
        net.list_all();
        net
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Pass(steps) => (0..steps).for_each(|_| self.advance()),
            Step::Cut(a, b) => drop(self.cut.insert(pair(a, b)).then_some(())),
            Step::Heal(a, b) => drop(self.cut.remove(&pair(a, b)).then_some(())),
            Step::Silence(a, b) => {
                let conns = self.conns.values_mut();
                conns
                    .filter(|c| pair(c.ends.0, c.ends.1) == pair(a, b))
                    .for_each(|c| c.silent = true);
            }
            Step::Restart(n) => {
                self.boots += 1;
                let node = &mut self.nodes[n];
                node.boot = self.boots;
                node.state = Membership::new(settings(&node.name, &node.domain, self.boots));
                self.list(n);
            }
            Step::Unlist(a, b) => {
                self.unlisted.insert((a, b));
                self.list(a);
            }
        }
    }

    fn heal(&mut self) {
        self.cut.clear();
        self.unlisted.clear();
        self.list_all();
    }

    fn list_all(&mut self) {
        (0..self.nodes.len()).for_each(|n| self.list(n));
    }

    fn list(&mut self, n: usize) {
        let listed = (0..self.nodes.len()).filter(|o| !self.unlisted.contains(&(n, *o)));
        let vms = listed.map(|o| Vm {
            name: self.nodes[o].name.clone(),
            role: Role::Entry,
            domain: self.nodes[o].domain.clone(),
            address: address(o),
            serves: "".into(),
            phase: VmPhase::Live,
            cpu_millis: 0,
        });
        let vms = vms.collect();
        self.handle(n, MemberEvent::Listed(vms));
    }

    fn advance(&mut self) {
        self.now += STEP_TIME;
        self.steps += 1;
        self.deliver_opened();
        for n in 0..self.nodes.len() {
            self.handle(n, MemberEvent::Tick);
            if (self.steps + u32::try_from(n).unwrap()).is_multiple_of(HEARTBEAT_STEPS) {
                self.send_heartbeat(n);
            }
        }
    }

    fn send_heartbeat(&mut self, n: usize) {
        let receivers: Vec<_> = self
            .conns
            .iter()
            .filter(|(_, c)| !c.silent && !self.cut.contains(&pair(c.ends.0, c.ends.1)))
            .filter_map(|(conn, c)| Some((*conn, self.other_end(c, n)?)))
            .collect();
        for (conn, to) in receivers {
            self.handle(to, MemberEvent::MessageReceived(conn));
        }
    }

    /// The entry at the other end of a connection of `n`; `None` when either entry was restarted
    /// since the connection was opened.
    fn other_end(&self, conn: &Conn, n: usize) -> Option<usize> {
        let (a, b) = conn.ends;
        let alive = conn.boots == (self.nodes[a].boot, self.nodes[b].boot);
        match n {
            _ if !alive => None,
            _ if n == a => Some(b),
            _ if n == b => Some(a),
            _ => None,
        }
    }

    fn handle(&mut self, n: usize, event: MemberEvent) {
        let mut effects = Vec::new();
        self.nodes[n].state.on(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                MemberEffect::Dial(addr) => self.dial(n, addr),
                MemberEffect::Close { conn, .. } => self.close(n, conn),
                MemberEffect::Changed => {}
            }
        }
    }

    fn dial(&mut self, n: usize, addr: SocketAddr) {
        let to = usize::from(addr.port());
        if self.cut.contains(&pair(n, to)) {
            self.handle(n, MemberEvent::DialFailed(addr));
            return;
        }
        let conn = u64::try_from(self.conns.len()).unwrap() + 1;
        let (a, b) = (&self.nodes[n], &self.nodes[to]);
        let opened = |node: &Node, dialled| PeerConnection {
            conn,
            peer: node.name.clone(),
            domain: node.domain.clone(),
            boot: node.boot,
            dialled,
        };
        let (dialled, accepted) = (opened(b, Some(addr)), opened(a, None));
        let boots = (a.boot, b.boot);
        self.conns.insert(
            conn,
            Conn {
                ends: (n, to),
                boots,
                silent: false,
            },
        );
        self.accepted.push((to, accepted));
        self.dialled.push((n, dialled));
    }

    /// Reports new connections to both ends one step after the dial, so that two entries can dial
    /// each other at the same time.
    fn deliver_opened(&mut self) {
        let accepted = std::mem::take(&mut self.accepted);
        let dialled = std::mem::take(&mut self.dialled);
        for (n, opened) in accepted.into_iter().chain(dialled) {
            let conn = &self.conns[&opened.conn];
            if !conn.silent && self.other_end(conn, n).is_some() {
                self.handle(n, MemberEvent::Opened(opened));
            } else if let Some(addr) = opened.dialled {
                self.handle(n, MemberEvent::DialFailed(addr));
            }
        }
    }

    /// Closes a connection; the other end notices unless the connection is silent or cut.
    fn close(&mut self, n: usize, conn: u64) {
        let Some(c) = self.conns.get_mut(&conn) else {
            return;
        };
        let unnoticed = c.silent || self.cut.contains(&pair(c.ends.0, c.ends.1));
        c.silent = true;
        let c = &self.conns[&conn];
        if let Some(other) = self.other_end(c, n).filter(|_| !unnoticed) {
            self.handle(other, MemberEvent::Closed(conn));
        }
    }

    fn live(&self, n: usize) -> BTreeSet<Name> {
        let live = self.nodes[n].state.live(self.now);
        live.into_iter().map(|p| p.name).collect()
    }

    /// Checks that no entry keeps a dead connection, that every pair of a domain is linked, that
    /// links are known at both ends, and that all entries are connected with each other.
    fn check_settled(&self) {
        for (conn, c) in &self.conns {
            for n in [c.ends.0, c.ends.1] {
                let kept = self.nodes[n].state.peer(*conn, self.now).is_some();
                let works = !c.silent && self.other_end(c, n).is_some();
                assert!(
                    !kept || works,
                    "{} keeps a dead connection",
                    self.nodes[n].name
                );
            }
        }
        for (n, node) in self.nodes.iter().enumerate() {
            let live = self.live(n);
            for (o, other) in self.nodes.iter().enumerate() {
                if n != o && other.domain == node.domain {
                    assert!(
                        live.contains(&other.name),
                        "{} is not linked to {}",
                        node.name,
                        other.name
                    );
                }
                let back = self.live(o).contains(&node.name);
                assert_eq!(
                    live.contains(&other.name),
                    back,
                    "{} and {} disagree on their link",
                    node.name,
                    other.name
                );
            }
        }
        let mut seen = BTreeSet::from([0]);
        let mut next = vec![0];
        while let Some(n) = next.pop() {
            let live = self.live(n);
            for o in 0..self.nodes.len() {
                if live.contains(&self.nodes[o].name) && seen.insert(o) {
                    next.push(o);
                }
            }
        }
        assert_eq!(
            seen.len(),
            self.nodes.len(),
            "the entries are not all connected"
        );
    }
}

fn settings(name: &str, domain: &str, boot: u64) -> MembershipSettings {
    MembershipSettings {
        name: name.into(),
        domain: domain.into(),
        boot,
        full_mesh: false,
        peer_timeout: PEER_TIMEOUT,
        seeds: Vec::new(),
        seed: boot,
    }
}

fn address(n: usize) -> SocketAddr {
    ([127, 0, 0, 1], u16::try_from(n).unwrap()).into()
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

fn steps(entries: usize, len: std::ops::Range<usize>) -> impl Strategy<Value = Vec<Step>> {
    let two = move || (0..entries, 0..entries);
    let step = prop_oneof![
        4 => (1..80_u32).prop_map(Step::Pass),
        2 => two().prop_map(|(a, b)| Step::Cut(a, b)),
        2 => two().prop_map(|(a, b)| Step::Heal(a, b)),
        2 => two().prop_map(|(a, b)| Step::Silence(a, b)),
        1 => (0..entries).prop_map(Step::Restart),
        1 => two().prop_map(|(a, b)| Step::Unlist(a, b)),
    ];
    proptest::collection::vec(step, len)
}

fn run(cases: u32, seed: u64, len: std::ops::Range<usize>) {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let done = TestRunner::new_with_rng(config, rng).run(&steps(8, len), |steps| {
        let mut net = Net::new(4, 2);
        for step in &steps {
            net.apply(step);
        }
        net.heal();
        net.apply(&Step::Pass(SETTLE_STEPS));
        net.check_settled();
        Ok(())
    });
    if let Err(err) = done {
        panic!("seed {seed}: {err}");
    }
}

/// Faults at any point must leave neither entries without a required link nor links that only one
/// end knows.
#[test]
fn membership_links_recover_after_random_faults() {
    run(32, 4, 1..30);
}

/// `GUAVAHOLD_SEED` and `GUAVAHOLD_CASES` set the seed and the number of cases.
#[test]
#[ignore = "long"]
fn membership_links_recover_after_random_faults_long() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse().ok());
    let seed = number("GUAVAHOLD_SEED").unwrap_or_else(|| fastrand::u64(..));
    let cases = number("GUAVAHOLD_CASES").unwrap_or(5000);
    println!("seed {seed} cases {cases}");
    run(u32::try_from(cases).unwrap(), seed, 1..60);
}

#[test]
fn membership_few_domains_form_a_full_mesh() {
    let mut net = Net::new(4, 2);
    net.apply(&Step::Pass(100));
    assert!((0..8).all(|n| net.live(n).len() == 7));
}

/// On a ring of 31 domains a domain has 10 neighbours with two bridges each, so that a bridge has
/// at most 20 links to other domains. All entries must be connected nevertheless.
#[test]
fn membership_many_domains_link_through_bridges() {
    let (domains, each) = (31, 4);
    let mut net = Net::new(domains, each);
    net.apply(&Step::Pass(400));
    net.check_settled();
    for (n, node) in net.nodes.iter().enumerate() {
        let in_domain = net.nodes.iter().filter(|o| o.domain == node.domain);
        let key = |o: &Node| rendezvous_key(&o.domain, &o.name);
        let rank = in_domain.filter(|o| key(o) < key(node)).count();
        let outer_links = net.live(n).len() - (each - 1);
        assert!(
            if rank < BRIDGES_PER_DOMAIN {
                outer_links <= 20
            } else {
                outer_links == 0
            },
            "{outer_links} links to other domains"
        );
    }
}

/// One of the two entries `d00-0` and `d01-0`.
struct PairEnd {
    state: Membership,
    other: Name,
}

impl PairEnd {
    fn new(n: usize) -> Self {
        let domain = format!("d0{n}");
        Self {
            state: Membership::new(settings(&format!("{domain}-0"), &domain, 1)),
            other: format!("d0{}-0", 1 - n).into(),
        }
    }

    /// Opens a connection to the other entry and returns which connections are closed for it.
    fn open(&mut self, at_ms: u64, conn: u64, boot: u64, dialled: bool) -> Vec<MemberEffect> {
        let opened = PeerConnection {
            conn,
            peer: self.other.clone(),
            domain: self.other[..3].into(),
            boot,
            dialled: dialled.then(|| address(1)),
        };
        let mut effects = Vec::new();
        let now = Duration::from_millis(at_ms);
        self.state
            .on(now, MemberEvent::Opened(opened), &mut effects);
        effects.retain(|e| matches!(e, MemberEffect::Close { .. }));
        effects
    }

    fn keeps(&self, conn: u64) -> bool {
        self.state.peer(conn, Duration::ZERO).is_some()
    }
}

/// If two entries that dial each other kept different connections, each would close the one that
/// the other keeps.
#[test]
fn membership_simultaneous_dials_keep_the_lower_names_connection() {
    let (by_lower, by_higher) = (1, 2);
    for order in [[by_lower, by_higher], [by_higher, by_lower]] {
        let (mut lower, mut higher) = (PairEnd::new(0), PairEnd::new(1));
        for conn in order {
            lower.open(0, conn, 1, conn == by_lower);
            higher.open(0, conn, 1, conn == by_higher);
        }
        assert!(
            lower.keeps(by_lower) && !lower.keeps(by_higher),
            "{order:?}"
        );
        assert!(
            higher.keeps(by_lower) && !higher.keeps(by_higher),
            "{order:?}"
        );
    }
}

/// The old connection of a restarted peer is dead although it has not timed out yet, so it must not
/// be preferred to the new one.
#[test]
fn membership_restarted_peer_replaces_its_link_at_once() {
    let mut lower = PairEnd::new(0);
    lower.open(0, 1, 5, true);
    let reason = CloseReason::Restarted;
    assert_eq!(
        lower.open(10, 2, 6, false),
        [MemberEffect::Close { conn: 1, reason }]
    );
    assert!(lower.keeps(2));
}

/// A peer that dials although it is linked may have lost that link. The link is replaced once it
/// has been quiet for half the peer timeout, here 1 s, even if the entry with the lower name
/// dialled it.
#[test]
fn membership_quiet_link_is_replaced_by_a_new_connection() {
    let mut lower = PairEnd::new(0);
    lower.open(0, 1, 5, true);
    let reason = CloseReason::Duplicate;
    assert_eq!(
        lower.open(500, 2, 5, false),
        [MemberEffect::Close { conn: 2, reason }]
    );
    assert_eq!(
        lower.open(1200, 3, 5, false),
        [MemberEffect::Close { conn: 1, reason }]
    );
    assert!(lower.keeps(3));
}
