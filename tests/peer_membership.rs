//! Random runs of membership under cuts, restarts, silent connections and lagging lists.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use guavahold::peer::{
    CloseReason, GATEWAYS, MemberEffect, MemberEvent, Membership, MembershipSettings, Opened,
    rank_key,
};
use guavahold::platform::{Role, Vm, VmPhase};
use guavahold::prelude::Name;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const STEP: Duration = Duration::from_millis(50);
const BEAT: u32 = 10;
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the last fault until every wanted link has to work; the longest pause between dials
/// is 5 s.
const SETTLED: u32 = 300;

#[derive(Clone, Debug)]
enum Step {
    Pass(u32),
    /// Two entries cannot reach each other: what is sent is lost and dialling times out.
    Cut(usize, usize),
    Heal(usize, usize),
    /// Open connections between two entries go silent, new ones work.
    Silence(usize, usize),
    Restart(usize),
    /// An entry is missing from the list of another one until the next fault is healed.
    Unlist(usize, usize),
}

struct Node {
    name: Name,
    domain: Name,
    boot: u64,
    state: Membership,
}

/// One connection between two entries, numbered at both ends alike.
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
    accepted: Vec<(usize, Opened)>,
    dialled: Vec<(usize, Opened)>,
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
            Step::Pass(steps) => (0..steps).for_each(|_| self.pass()),
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

    fn pass(&mut self) {
        self.now += STEP;
        self.steps += 1;
        self.open();
        for n in 0..self.nodes.len() {
            self.handle(n, MemberEvent::Tick);
            if (self.steps + u32::try_from(n).unwrap()).is_multiple_of(BEAT) {
                self.beat(n);
            }
        }
    }

    fn beat(&mut self, n: usize) {
        let heard: Vec<_> = self
            .conns
            .iter()
            .filter(|(_, c)| !c.silent && !self.cut.contains(&pair(c.ends.0, c.ends.1)))
            .filter_map(|(conn, c)| Some((*conn, self.other(c, n)?)))
            .collect();
        for (conn, to) in heard {
            self.handle(to, MemberEvent::Heard(conn));
        }
    }

    /// The entry at the other end of a connection of this process of `n`.
    fn other(&self, conn: &Conn, n: usize) -> Option<usize> {
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
        let opened = |node: &Node, dialled| Opened {
            conn,
            peer: node.name.clone(),
            domain: node.domain.clone(),
            boot: node.boot,
            dialled,
        };
        let (far, near) = (opened(b, Some(addr)), opened(a, None));
        let boots = (a.boot, b.boot);
        self.conns.insert(
            conn,
            Conn {
                ends: (n, to),
                boots,
                silent: false,
            },
        );
        self.accepted.push((to, near));
        self.dialled.push((n, far));
    }

    /// Both ends hear of a new connection one step later, so that dialling may cross.
    fn open(&mut self) {
        let accepted = std::mem::take(&mut self.accepted);
        let dialled = std::mem::take(&mut self.dialled);
        for (n, opened) in accepted.into_iter().chain(dialled) {
            let conn = &self.conns[&opened.conn];
            if !conn.silent && self.other(conn, n).is_some() {
                self.handle(n, MemberEvent::Opened(opened));
            } else if let Some(addr) = opened.dialled {
                self.handle(n, MemberEvent::DialFailed(addr));
            }
        }
    }

    /// The other end notices unless the connection is silent or cut.
    fn close(&mut self, n: usize, conn: u64) {
        let Some(c) = self.conns.get_mut(&conn) else {
            return;
        };
        let quiet = c.silent || self.cut.contains(&pair(c.ends.0, c.ends.1));
        c.silent = true;
        let c = &self.conns[&conn];
        if let Some(other) = self.other(c, n).filter(|_| !quiet) {
            self.handle(other, MemberEvent::Closed(conn));
        }
    }

    fn live(&self, n: usize) -> BTreeSet<Name> {
        let live = self.nodes[n].state.live(self.now);
        live.into_iter().map(|p| p.name).collect()
    }

    /// No dead connection counts as a link, every pair of a domain is linked, links are known at both ends, and all domains hang together.
    fn check_settled(&self) {
        for (conn, c) in &self.conns {
            for n in [c.ends.0, c.ends.1] {
                let kept = self.nodes[n].state.peer(*conn, self.now).is_some();
                let works = !c.silent && self.other(c, n).is_some();
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
                        "{} misses {}",
                        node.name,
                        other.name
                    );
                }
                let back = self.live(o).contains(&node.name);
                assert_eq!(
                    live.contains(&other.name),
                    back,
                    "{} {}",
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
        assert_eq!(seen.len(), self.nodes.len(), "domains fell apart");
    }
}

fn settings(name: &str, domain: &str, boot: u64) -> MembershipSettings {
    MembershipSettings {
        name: name.into(),
        domain: domain.into(),
        boot,
        all_linked: false,
        peer_timeout: TIMEOUT,
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
        net.apply(&Step::Pass(SETTLED));
        net.check_settled();
        Ok(())
    });
    if let Err(err) = done {
        panic!("seed {seed}: {err}");
    }
}

#[test]
fn membership_links_again_after_any_faults() {
    run(32, 4, 1..30);
}

#[test]
#[ignore = "long"]
fn membership_long_run() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse().ok());
    let seed = number("GUAVAHOLD_SEED").unwrap_or_else(|| fastrand::u64(..));
    let cases = number("GUAVAHOLD_CASES").unwrap_or(5000);
    println!("seed {seed} cases {cases}");
    run(u32::try_from(cases).unwrap(), seed, 1..60);
}

#[test]
fn membership_small_sizes_are_meshed() {
    let mut net = Net::new(4, 2);
    net.apply(&Step::Pass(100));
    assert!((0..8).all(|n| net.live(n).len() == 7));
}

#[test]
fn membership_many_domains_link_by_gateways() {
    let (domains, each) = (31, 4);
    let mut net = Net::new(domains, each);
    net.apply(&Step::Pass(400));
    net.check_settled();
    for (n, node) in net.nodes.iter().enumerate() {
        let same = net.nodes.iter().filter(|o| o.domain == node.domain);
        let key = |o: &Node| rank_key(&o.domain, &o.name);
        let rank = same.filter(|o| key(o) < key(node)).count();
        let far = net.live(n).len() - (each - 1);
        assert!(
            if rank < GATEWAYS { far <= 20 } else { far == 0 },
            "{far} far links"
        );
    }
}

/// One end of a pair of entries `d00-0` and `d01-0`.
struct End {
    state: Membership,
    other: Name,
}

impl End {
    fn new(n: usize) -> Self {
        let domain = format!("d0{n}");
        Self {
            state: Membership::new(settings(&format!("{domain}-0"), &domain, 1)),
            other: format!("d0{}-0", 1 - n).into(),
        }
    }

    /// Opens a connection to the other entry and tells which are closed for it.
    fn open(&mut self, at_ms: u64, conn: u64, boot: u64, dialled: bool) -> Vec<MemberEffect> {
        let opened = Opened {
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

#[test]
fn membership_crossed_dials_keep_the_lower_names_connection() {
    let (by_lower, by_higher) = (1, 2);
    for order in [[by_lower, by_higher], [by_higher, by_lower]] {
        let (mut lower, mut higher) = (End::new(0), End::new(1));
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

#[test]
fn membership_restarted_peer_replaces_its_link_at_once() {
    let mut lower = End::new(0);
    lower.open(0, 1, 5, true);
    let reason = CloseReason::Restarted;
    assert_eq!(
        lower.open(10, 2, 6, false),
        [MemberEffect::Close { conn: 1, reason }]
    );
    assert!(lower.keeps(2));
}

#[test]
fn membership_quiet_link_gives_way() {
    let mut lower = End::new(0);
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
