//! Decides which peers are live, which addresses to dial and which of two connections to keep.

mod dialling;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::peer::{
    BRIDGES_PER_DOMAIN, CloseReason, ConnId, MemberEffect, MemberEvent, PeerConnection, PeerInfo,
};
use crate::peer::{rendezvous_key, rendezvous_rank};
use crate::platform::{Role, Vm};
use crate::prelude::*;

/// Upper bound of the random delay before an address is dialled again, after the first failure.
const REDIAL_BACKOFF_BASE: Duration = Duration::from_millis(100);
/// Upper bound of that delay after any number of failures.
const REDIAL_BACKOFF_CAP: Duration = Duration::from_secs(5);
/// Time after an entry stopped being a bridge until it closes the links to other domains that it
/// dialled.
const SURPLUS_LINK_GRACE: Duration = Duration::from_secs(10);

/// Settings of a [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Name of this entry.
    pub name: Name,
    /// Failure domain of this entry.
    pub domain: Name,
    /// Random identifier of this process run.
    pub boot: u64,
    /// Whether the entries of all failure domains form one full mesh, without bridges.
    pub full_mesh: bool,
    /// Time without messages after which a connection counts as lost.
    pub peer_timeout: Duration,
    /// Addresses dialled even if the platform does not list them.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random redial delays.
    pub seed: u64,
}

#[derive(Debug)]
struct Link {
    connection: PeerConnection,
    last_message_at: Timestamp,
    last_heartbeat_at: Timestamp,
    revision: u64,
    since_ms: u64,
    draining: bool,
}

#[derive(Debug, Default)]
struct DialState {
    failures: u32,
    /// End of the redial delay.
    next_attempt: Timestamp,
    in_progress: bool,
    /// Peer that was connected at this address last.
    peer: Option<Name>,
}

/// Membership state of one entry: its links to peers and the addresses that it dials.
#[derive(Debug)]
pub struct Membership {
    cfg: MembershipSettings,
    listed: BTreeMap<Name, Vm>,
    /// Listed entries by failure domain, best ranked first; in a full mesh all count as entries of
    /// the own domain.
    candidates: BTreeMap<Name, Vec<Name>>,
    list_changed_at: Timestamp,
    dials: BTreeMap<SocketAddr, DialState>,
    links: BTreeMap<ConnId, Link>,
    by_peer: BTreeMap<Name, ConnId>,
    /// When the dialled links to other domains are closed unless this entry is a bridge again.
    bridge_until: Timestamp,
    rng: fastrand::Rng,
}

impl Membership {
    /// Makes the state of an entry without links.
    #[must_use]
    pub fn new(cfg: MembershipSettings) -> Self {
        let rng = fastrand::Rng::with_seed(cfg.seed);
        Self {
            cfg,
            listed: BTreeMap::new(),
            candidates: BTreeMap::new(),
            list_changed_at: Timestamp::ZERO,
            dials: BTreeMap::new(),
            links: BTreeMap::new(),
            by_peer: BTreeMap::new(),
            bridge_until: Timestamp::ZERO,
            rng,
        }
    }

    /// Live peers, sorted by name; their `since_ms` is as of `now`.
    #[must_use]
    pub fn live(&self, now: Timestamp) -> Vec<PeerInfo> {
        let conns = self.by_peer.values();
        conns
            .map(|conn| peer_info(&self.links[conn], now))
            .collect()
    }

    /// The peer of a connection.
    #[must_use]
    pub fn peer(&self, conn: ConnId, now: Timestamp) -> Option<PeerInfo> {
        self.links.get(&conn).map(|l| peer_info(l, now))
    }

    /// Handles one event.
    ///
    /// # Panics
    /// When two links to one peer are kept or the entry is linked to itself, which would be a bug.
    pub fn on(&mut self, now: Timestamp, event: MemberEvent, effects: &mut Vec<MemberEffect>) {
        match event {
            MemberEvent::Listed(vms) => self.set_listed(now, vms),
            MemberEvent::Opened(connection) => self.add_connection(now, connection, effects),
            MemberEvent::DialFailed(addr) => self.back_off(now, addr),
            MemberEvent::MessageReceived(conn) => self.record_message(now, conn),
            MemberEvent::HeartbeatReceived {
                conn,
                revision,
                since_ms,
                draining,
            } => {
                self.record_message(now, conn);
                if let Some(link) = self.links.get_mut(&conn) {
                    (link.revision, link.since_ms) = (revision, since_ms);
                    link.last_heartbeat_at = now;
                    if std::mem::replace(&mut link.draining, draining) != draining {
                        effects.push(MemberEffect::Changed);
                    }
                }
            }
            MemberEvent::Closed(conn) => self.remove_link(now, conn, effects),
            MemberEvent::Tick => self.tick(now, effects),
        }
        self.assert_invariants();
    }

    fn set_listed(&mut self, now: Timestamp, vms: Vec<Vm>) {
        let own = self.cfg.name.clone();
        let listed: BTreeMap<_, _> = vms
            .into_iter()
            .filter(|vm| vm.role == Role::Entry && vm.name != own)
            .map(|vm| (vm.name.clone(), vm))
            .collect();
        if listed == self.listed {
            return;
        }
        self.listed = listed;
        self.list_changed_at = now;
        self.candidates.clear();
        for vm in self.listed.values() {
            let full_mesh = self.cfg.full_mesh;
            let domain = if full_mesh {
                &self.cfg.domain
            } else {
                &vm.domain
            };
            let names = self.candidates.entry(domain.clone()).or_default();
            names.push(vm.name.clone());
        }
        for (domain, names) in &mut self.candidates {
            names.sort_by_key(|name| rendezvous_key(domain, name));
        }
        let (listed, seeds) = (&self.listed, &self.cfg.seeds);
        self.dials.retain(|addr, dial| {
            dial.in_progress
                || seeds.contains(addr)
                || listed.values().any(|vm| vm.address == *addr)
        });
    }

    fn add_connection(
        &mut self,
        now: Timestamp,
        connection: PeerConnection,
        effects: &mut Vec<MemberEffect>,
    ) {
        if let Some(addr) = connection.dialled {
            let dial = self.dials.entry(addr).or_default();
            dial.in_progress = false;
            dial.failures = 0;
            dial.peer = Some(connection.peer.clone());
        }
        let close = |conn, reason| MemberEffect::Close { conn, reason };
        if connection.peer == self.cfg.name {
            effects.push(close(connection.conn, CloseReason::SelfConnection));
            return;
        }
        let old = self.by_peer.get(&connection.peer).copied();
        if let Some(old) = old.and_then(|conn| self.links.get(&conn)) {
            let (old_conn, restarted) =
                (old.connection.conn, old.connection.boot != connection.boot);
            if !restarted && self.keeps_existing(now, old, &connection) {
                effects.push(close(connection.conn, CloseReason::Duplicate));
                return;
            }
            let reason = if restarted {
                CloseReason::Restarted
            } else {
                CloseReason::Duplicate
            };
            self.links.remove(&old_conn);
            effects.push(close(old_conn, reason));
        }
        let link = Link {
            connection,
            last_message_at: now,
            last_heartbeat_at: now,
            revision: 0,
            since_ms: 0,
            draining: false,
        };
        self.by_peer
            .insert(link.connection.peer.clone(), link.connection.conn);
        self.links.insert(link.connection.conn, link);
        effects.push(MemberEffect::Changed);
    }

    /// Whether an existing connection is kept instead of a new one to the same peer.
    ///
    /// Both ends keep the connection that the entry with the lower name dialled, so that they agree
    /// on one when each dials the other; of two such connections they keep the newer one. A
    /// connection without a message for half the peer timeout is replaced by any new one.
    fn keeps_existing(&self, now: Timestamp, old: &Link, new: &PeerConnection) -> bool {
        let dialled_by_lower = |c: &PeerConnection| c.dialled.is_some() == (self.cfg.name < c.peer);
        let quiet = now.saturating_sub(old.last_message_at) > self.cfg.peer_timeout / 2;
        !quiet && dialled_by_lower(&old.connection) && !dialled_by_lower(new)
    }

    fn record_message(&mut self, now: Timestamp, conn: ConnId) {
        if let Some(link) = self.links.get_mut(&conn) {
            link.last_message_at = now;
        }
    }

    fn remove_link(&mut self, now: Timestamp, conn: ConnId, effects: &mut Vec<MemberEffect>) {
        let Some(link) = self.links.remove(&conn) else {
            return;
        };
        self.by_peer.remove(&link.connection.peer);
        if let Some(addr) = link.connection.dialled {
            self.back_off(now, addr);
        }
        effects.push(MemberEffect::Changed);
    }

    /// Sets the redial delay with full jitter: uniform below an exponentially growing bound.
    fn back_off(&mut self, now: Timestamp, addr: SocketAddr) {
        let dial = self.dials.entry(addr).or_default();
        dial.in_progress = false;
        let bound = REDIAL_BACKOFF_BASE * 2_u32.saturating_pow(dial.failures.min(10));
        dial.failures += 1;
        dial.next_attempt = now + bound.min(REDIAL_BACKOFF_CAP).mul_f64(self.rng.f64());
    }

    fn tick(&mut self, now: Timestamp, effects: &mut Vec<MemberEffect>) {
        self.close_silent(now, effects);
        self.close_surplus(now, effects);
        for addr in self.dial_candidates(now) {
            let dial = self.dials.entry(addr).or_default();
            if !dial.in_progress && dial.next_attempt <= now {
                dial.in_progress = true;
                effects.push(MemberEffect::Dial(addr));
            }
        }
    }

    fn close_silent(&mut self, now: Timestamp, effects: &mut Vec<MemberEffect>) {
        let timeout = self.cfg.peer_timeout;
        let silent = self.links.iter();
        let silent = silent.filter(|(_, l)| now.saturating_sub(l.last_message_at) >= timeout);
        for conn in silent.map(|(conn, _)| *conn).collect::<Vec<_>>() {
            let reason = CloseReason::Silent;
            effects.push(MemberEffect::Close { conn, reason });
            self.remove_link(now, conn, effects);
        }
    }

    fn is_bridge(&self) -> bool {
        let links = self.links.values().map(|l| &l.connection);
        let in_domain = links.filter(|c| c.domain == self.cfg.domain);
        rendezvous_rank(
            &self.cfg.domain,
            &self.cfg.name,
            in_domain.map(|c| &*c.peer),
        ) < BRIDGES_PER_DOMAIN
    }

    fn close_surplus(&mut self, now: Timestamp, effects: &mut Vec<MemberEffect>) {
        if self.is_bridge() {
            self.bridge_until = now + SURPLUS_LINK_GRACE;
        }
        if now < self.bridge_until || self.cfg.full_mesh {
            return;
        }
        let seeds = &self.cfg.seeds;
        let surplus = self.links.values().map(|l| &l.connection).filter(|c| {
            c.domain != self.cfg.domain && c.dialled.is_some_and(|addr| !seeds.contains(&addr))
        });
        for conn in surplus.map(|c| c.conn).collect::<Vec<_>>() {
            let reason = CloseReason::Surplus;
            effects.push(MemberEffect::Close { conn, reason });
            self.remove_link(now, conn, effects);
        }
    }

    fn is_linked(&self, name: &str) -> bool {
        self.by_peer.contains_key(name)
    }

    fn assert_invariants(&self) {
        assert!(
            self.by_peer.len() == self.links.len(),
            "two links to the same peer"
        );
        assert!(
            !self.is_linked(&self.cfg.name),
            "the entry is linked to itself"
        );
    }
}

fn peer_info(link: &Link, now: Timestamp) -> PeerInfo {
    let age = now.saturating_sub(link.last_heartbeat_at).as_millis();
    PeerInfo {
        name: link.connection.peer.clone(),
        domain: link.connection.domain.clone(),
        revision: link.revision,
        since_ms: link.since_ms + u64::try_from(age).unwrap_or(u64::MAX),
        draining: link.draining,
    }
}
