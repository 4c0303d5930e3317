//! Decides which peers are live, whom to dial and which of two connections to keep.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::peer::{CloseReason, ConnId, GATEWAYS, MemberEffect, MemberEvent, Opened, PeerInfo};
use crate::peer::{rank_key, rank_of};
use crate::platform::{Role, Vm};
use crate::prelude::*;

/// First pause before an address is dialled again.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
/// Longest pause before an address is dialled again.
const BACKOFF_CAP: Duration = Duration::from_secs(5);
/// Most failure domains that are all linked with each other; more form a ring with chords.
const MESHED_DOMAINS: usize = 8;
/// Linked failure domains below which a gateway tries all the others.
const FEW_DOMAINS: usize = 2;
/// How long an entry that is no gateway any more keeps its links to other domains.
const SURPLUS_GRACE: Duration = Duration::from_secs(10);

/// Settings of a [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Name of this entry.
    pub name: Name,
    /// Failure domain of this entry.
    pub domain: Name,
    /// Random number of this process.
    pub boot: u64,
    /// Whether entries of all failure domains are linked with each other.
    pub all_linked: bool,
    /// Silence after which a connection counts as lost.
    pub peer_timeout: Duration,
    /// Addresses dialled whether listed or not.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the dialling pauses.
    pub seed: u64,
}

#[derive(Debug)]
struct Link {
    opened: Opened,
    heard_at: Timestamp,
    beat_at: Timestamp,
    revision: u64,
    since_ms: u64,
    draining: bool,
}

#[derive(Debug, Default)]
struct Dialling {
    failures: u32,
    next: Timestamp,
    busy: bool,
    peer: Option<Name>,
}

/// The links of one entry.
#[derive(Debug)]
pub struct Membership {
    cfg: MembershipSettings,
    listed: BTreeMap<Name, Vm>,
    candidates: BTreeMap<Name, Vec<Name>>,
    listed_at: Timestamp,
    dialling: BTreeMap<SocketAddr, Dialling>,
    links: BTreeMap<ConnId, Link>,
    by_peer: BTreeMap<Name, ConnId>,
    gateway_until: Timestamp,
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
            listed_at: Timestamp::ZERO,
            dialling: BTreeMap::new(),
            links: BTreeMap::new(),
            by_peer: BTreeMap::new(),
            gateway_until: Timestamp::ZERO,
            rng,
        }
    }

    /// Live peers, sorted by name; reported times are aged to `now`.
    #[must_use]
    pub fn live(&self, now: Timestamp) -> Vec<PeerInfo> {
        let conns = self.by_peer.values();
        conns.map(|conn| info(&self.links[conn], now)).collect()
    }

    /// The peer of a connection.
    #[must_use]
    pub fn peer(&self, conn: ConnId, now: Timestamp) -> Option<PeerInfo> {
        self.links.get(&conn).map(|l| info(l, now))
    }

    /// Handles one event.
    ///
    /// # Panics
    /// When two links to one peer were kept, which would be a defect.
    pub fn on(&mut self, now: Timestamp, event: MemberEvent, effects: &mut Vec<MemberEffect>) {
        match event {
            MemberEvent::Listed(vms) => self.list(now, vms),
            MemberEvent::Opened(opened) => self.open(now, opened, effects),
            MemberEvent::DialFailed(addr) => self.back_off(now, addr),
            MemberEvent::Heard(conn) => self.mark_heard(now, conn),
            MemberEvent::Beat {
                conn,
                revision,
                since_ms,
                draining,
            } => {
                self.mark_heard(now, conn);
                if let Some(link) = self.links.get_mut(&conn) {
                    (link.revision, link.since_ms, link.draining) = (revision, since_ms, draining);
                    link.beat_at = now;
                }
            }
            MemberEvent::Closed(conn) => self.remove_link(now, conn, effects),
            MemberEvent::Tick => self.tick(now, effects),
        }
        self.check();
    }

    fn list(&mut self, now: Timestamp, vms: Vec<Vm>) {
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
        self.listed_at = now;
        self.candidates.clear();
        for vm in self.listed.values() {
            let near = self.cfg.all_linked;
            let domain = if near { &self.cfg.domain } else { &vm.domain };
            let names = self.candidates.entry(domain.clone()).or_default();
            names.push(vm.name.clone());
        }
        for (domain, names) in &mut self.candidates {
            names.sort_by_key(|name| rank_key(domain, name));
        }
        let (listed, seeds) = (&self.listed, &self.cfg.seeds);
        self.dialling.retain(|addr, dialling| {
            dialling.busy || seeds.contains(addr) || listed.values().any(|vm| vm.address == *addr)
        });
    }

    fn open(&mut self, now: Timestamp, opened: Opened, effects: &mut Vec<MemberEffect>) {
        if let Some(addr) = opened.dialled {
            let dialling = self.dialling.entry(addr).or_default();
            dialling.busy = false;
            dialling.failures = 0;
            dialling.peer = Some(opened.peer.clone());
        }
        let close = |conn, reason| MemberEffect::Close { conn, reason };
        if opened.peer == self.cfg.name {
            effects.push(close(opened.conn, CloseReason::Own));
            return;
        }
        let old = self.by_peer.get(&opened.peer).copied();
        if let Some(old) = old.and_then(|conn| self.links.get(&conn)) {
            let (old_conn, restarted) = (old.opened.conn, old.opened.boot != opened.boot);
            if !restarted && self.keeps_old(now, old, &opened) {
                effects.push(close(opened.conn, CloseReason::Duplicate));
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
            opened,
            heard_at: now,
            beat_at: now,
            revision: 0,
            since_ms: 0,
            draining: false,
        };
        self.by_peer
            .insert(link.opened.peer.clone(), link.opened.conn);
        self.links.insert(link.opened.conn, link);
        effects.push(MemberEffect::Changed);
    }

    /// Both ends keep the connection that the lower name dialled, and of two such the newer one; a
    /// connection that has been quiet for half the timeout gives way to any new one.
    fn keeps_old(&self, now: Timestamp, old: &Link, new: &Opened) -> bool {
        let by_lower = |o: &Opened| o.dialled.is_some() == (self.cfg.name < o.peer);
        let quiet = now.saturating_sub(old.heard_at) > self.cfg.peer_timeout / 2;
        !quiet && by_lower(&old.opened) && !by_lower(new)
    }

    fn mark_heard(&mut self, now: Timestamp, conn: ConnId) {
        if let Some(link) = self.links.get_mut(&conn) {
            link.heard_at = now;
        }
    }

    fn remove_link(&mut self, now: Timestamp, conn: ConnId, effects: &mut Vec<MemberEffect>) {
        let Some(link) = self.links.remove(&conn) else {
            return;
        };
        self.by_peer.remove(&link.opened.peer);
        if let Some(addr) = link.opened.dialled {
            self.back_off(now, addr);
        }
        effects.push(MemberEffect::Changed);
    }

    /// Full jitter: a uniform pause below an exponentially growing bound.
    fn back_off(&mut self, now: Timestamp, addr: SocketAddr) {
        let dialling = self.dialling.entry(addr).or_default();
        dialling.busy = false;
        let bound = BACKOFF_BASE * 2_u32.saturating_pow(dialling.failures.min(10));
        dialling.failures += 1;
        dialling.next = now + bound.min(BACKOFF_CAP).mul_f64(self.rng.f64());
    }

    fn tick(&mut self, now: Timestamp, effects: &mut Vec<MemberEffect>) {
        self.close_silent(now, effects);
        self.close_surplus(now, effects);
        for addr in self.wanted(now) {
            let dialling = self.dialling.entry(addr).or_default();
            if !dialling.busy && dialling.next <= now {
                dialling.busy = true;
                effects.push(MemberEffect::Dial(addr));
            }
        }
    }

    fn close_silent(&mut self, now: Timestamp, effects: &mut Vec<MemberEffect>) {
        let limit = self.cfg.peer_timeout;
        let silent = self.links.iter();
        let silent = silent.filter(|(_, l)| now.saturating_sub(l.heard_at) >= limit);
        for conn in silent.map(|(conn, _)| *conn).collect::<Vec<_>>() {
            let reason = CloseReason::Silent;
            effects.push(MemberEffect::Close { conn, reason });
            self.remove_link(now, conn, effects);
        }
    }

    fn is_gateway(&self) -> bool {
        let links = self.links.values().map(|l| &l.opened);
        let same = links.filter(|o| o.domain == self.cfg.domain);
        rank_of(&self.cfg.domain, &self.cfg.name, same.map(|o| &*o.peer)) < GATEWAYS
    }

    fn close_surplus(&mut self, now: Timestamp, effects: &mut Vec<MemberEffect>) {
        if self.is_gateway() {
            self.gateway_until = now + SURPLUS_GRACE;
        }
        if now < self.gateway_until || self.cfg.all_linked {
            return;
        }
        let seeds = &self.cfg.seeds;
        let surplus = self.links.values().map(|l| &l.opened).filter(|o| {
            o.domain != self.cfg.domain && o.dialled.is_some_and(|addr| !seeds.contains(&addr))
        });
        for conn in surplus.map(|o| o.conn).collect::<Vec<_>>() {
            let reason = CloseReason::Surplus;
            effects.push(MemberEffect::Close { conn, reason });
            self.remove_link(now, conn, effects);
        }
    }

    /// Addresses to dial now or after their pause.
    fn wanted(&self, now: Timestamp) -> Vec<SocketAddr> {
        let mut wanted = self.wanted_seeds();
        if let Some(names) = self.candidates.get(&self.cfg.domain) {
            wanted.extend(self.wanted_near(now, names));
        }
        if self.is_gateway() {
            for domain in self.neighbours(now) {
                wanted.extend(self.wanted_far(now, domain, &self.candidates[domain]));
            }
        }
        wanted
    }

    /// Failure domains to link to: all of a few; of many those at distances of powers of two on the
    /// ring of their names, as in Chord, or all again while too few of these are linked.
    fn neighbours(&self, now: Timestamp) -> Vec<&Name> {
        let own = &self.cfg.domain;
        let others = self.candidates.keys().filter(|domain| *domain != own);
        let mut ring: Vec<&Name> = others.chain([own]).collect();
        ring.sort();
        let len = ring.len();
        let at = ring.iter().position(|domain| *domain == own);
        let at = at.unwrap_or_default();
        let mut linked: Vec<_> = self.links.values().map(|l| &l.opened.domain).collect();
        linked.retain(|domain| *domain != own);
        linked.sort();
        linked.dedup();
        let few = linked.len() < FEW_DOMAINS && now >= self.listed_at + self.cfg.peer_timeout;
        if len <= MESHED_DOMAINS || few {
            ring.retain(|domain| *domain != own);
            return ring;
        }
        let distances = (0..).map(|k| 1 << k).take_while(|distance| *distance < len);
        let mut chords: Vec<_> = distances
            .flat_map(|distance| {
                [
                    ring[(at + distance) % len],
                    ring[(at + len - distance) % len],
                ]
            })
            .collect();
        chords.sort();
        chords.dedup();
        chords
    }

    fn wanted_seeds(&self) -> Vec<SocketAddr> {
        let seeds = self.cfg.seeds.iter().copied();
        let unlinked = seeds.filter(|addr| {
            let peer = self.dialling.get(addr).and_then(|d| d.peer.as_ref());
            !peer.is_some_and(|name| *name == self.cfg.name || self.is_linked(name))
        });
        unlinked.collect()
    }

    /// The lower name dials; the higher one joins in when that has come to nothing.
    fn wanted_near(&self, now: Timestamp, names: &[Name]) -> Vec<SocketAddr> {
        let late = now >= self.listed_at + self.cfg.peer_timeout;
        let names = names.iter().filter(|name| !self.is_linked(name));
        names
            .filter(|name| late || self.cfg.name < **name)
            .map(|name| self.listed[name].address)
            .collect()
    }

    /// The best ranked peers of another domain that are not in their pause.
    fn wanted_far(&self, now: Timestamp, domain: &Name, names: &[Name]) -> Vec<SocketAddr> {
        let links = self.links.values().map(|l| &l.opened);
        let held = links.filter(|o| o.domain == *domain).count();
        let resting = |addr: &SocketAddr| self.dialling.get(addr).is_some_and(|d| d.next > now);
        names
            .iter()
            .filter(|name| !self.is_linked(name))
            .map(|name| self.listed[name].address)
            .filter(|addr| !resting(addr))
            .take(GATEWAYS.saturating_sub(held))
            .collect()
    }

    fn is_linked(&self, name: &str) -> bool {
        self.by_peer.contains_key(name)
    }

    fn check(&self) {
        assert!(
            self.by_peer.len() == self.links.len(),
            "two links to one peer"
        );
        assert!(!self.is_linked(&self.cfg.name), "linked to itself");
    }
}

fn info(link: &Link, now: Timestamp) -> PeerInfo {
    let age = now.saturating_sub(link.beat_at).as_millis();
    PeerInfo {
        name: link.opened.peer.clone(),
        domain: link.opened.domain.clone(),
        revision: link.revision,
        since_ms: link.since_ms + u64::try_from(age).unwrap_or(u64::MAX),
        draining: link.draining,
    }
}
