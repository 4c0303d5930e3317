//! Simulated entries with the connections between them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use guavahold::peer::{MemberEffect, MemberEvent, Membership, MembershipSettings, PeerConnection};
use guavahold::platform::{Role, Vm, VmPhase};
use guavahold::prelude::Name;

use super::step::Step;

/// Simulated time of one step.
const STEP_TIME: Duration = Duration::from_millis(50);
/// Steps between two heartbeats of an entry.
const HEARTBEAT_STEPS: u32 = 10;
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// An entry.
pub struct Node {
    pub name: Name,
    pub domain: Name,
    boot: u64,
    state: Membership,
}

/// A connection between two entries; both ends use the same number for it.
struct Conn {
    ends: (usize, usize),
    boots: (u64, u64),
    silent: bool,
}

/// All entries, their connections and the faults between them.
pub struct Net {
    now: Duration,
    steps: u32,
    pub nodes: Vec<Node>,
    conns: BTreeMap<u64, Conn>,
    cut: BTreeSet<(usize, usize)>,
    unlisted: BTreeSet<(usize, usize)>,
    accepted: Vec<(usize, PeerConnection)>,
    dialled: Vec<(usize, PeerConnection)>,
    boots: u64,
}

impl Net {
    pub fn new(domains: usize, each: usize) -> Self {
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

    pub fn apply(&mut self, step: &Step) {
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

    pub fn heal(&mut self) {
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

    pub fn live(&self, n: usize) -> BTreeSet<Name> {
        let live = self.nodes[n].state.live(self.now);
        live.into_iter().map(|p| p.name).collect()
    }

    /// Checks that no entry keeps a dead connection, that every pair of a domain is linked, that
    /// links are known at both ends, and that all entries are connected with each other.
    pub fn check_settled(&self) {
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

pub fn settings(name: &str, domain: &str, boot: u64) -> MembershipSettings {
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

pub fn address(n: usize) -> SocketAddr {
    ([127, 0, 0, 1], u16::try_from(n).unwrap()).into()
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}
