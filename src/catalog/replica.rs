//! Decides how one entry's replica of the catalog follows the platform and its peers.

use std::collections::{BTreeMap, VecDeque};

use crate::catalog::{
    Catalog, CatalogHead, ReleaseNote, ReplicaEffect, ReplicaEvent, SnapshotRef, Source,
};
use crate::peer::{PeerInfo, PeerMessage, rank_key, rank_of};
use crate::prelude::*;

/// Entries of a domain that follow the catalog at the platform.
pub const WATCHERS: usize = 2;
/// Interval at which a watch is replaced by one on a new connection, so that a connection gone
/// silent hides changes no longer than this.
const ROTATE: Duration = Duration::from_millis(500);
/// Time without an answer after which a watch being opened no longer counts as working.
const SLOW_OPEN: Duration = Duration::from_millis(400);
/// Time after which a second attempt is made beside one that is still waiting.
const STUCK_OPEN: Duration = Duration::from_secs(1);
/// Longest pause between failed attempts.
const RETRY_CAP: Duration = Duration::from_millis(1500);
/// First pause after a failed attempt.
const RETRY_BASE: Duration = Duration::from_millis(100);
/// Delay by which each further entry in rank takes over later.
const STAGGER: Duration = Duration::from_millis(100);
/// How long an entry goes on watching when better ranked ones do.
const HANDOVER: Duration = Duration::from_secs(2);
/// How long an entry that cannot reach the platform collects revisions from peers before it
/// counts as ready.
const SETTLE: Duration = Duration::from_secs(2);
/// Age of a revision after which a peer that does not report it is sent the notes again.
const REPAIR: Duration = Duration::from_millis(400);
/// Further delay for each better placed peer that could send them as well.
const REPAIR_STEP: Duration = Duration::from_millis(300);
/// Pause before the same peer is asked for or sent the same again.
const REPEAT: Duration = Duration::from_secs(1);
/// Notes kept to bring peers up to date.
const TAIL: usize = 1024;

/// Settings of a [`Replica`].
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Name of this entry.
    pub name: Name,
    /// Failure domain of this entry.
    pub domain: Name,
    /// Seed of the pauses.
    pub seed: u64,
}

#[derive(Debug)]
struct Peer {
    domain: Name,
    revision: u64,
    watching: bool,
    sent: Option<(u64, Stamp)>,
}

#[derive(Debug, Default)]
struct Watch {
    wanted_since: Option<Stamp>,
    unwanted_since: Option<Stamp>,
    active: bool,
    working: bool,
    opening: Option<Stamp>,
    next: Stamp,
    failures: u32,
}

/// State of one entry's replica.
#[derive(Debug)]
pub struct Replica {
    cfg: ReplicaSettings,
    catalog: Arc<Catalog>,
    since: Stamp,
    started: Option<Stamp>,
    ready: bool,
    tail: VecDeque<ReleaseNote>,
    peers: BTreeMap<Name, Peer>,
    watch: Watch,
    head: Option<CatalogHead>,
    reading: Option<(SnapshotRef, Stamp)>,
    asked: Option<Stamp>,
    rng: fastrand::Rng,
}

impl Replica {
    /// Makes the state of an entry that has seen no catalog.
    #[must_use]
    pub fn new(cfg: ReplicaSettings) -> Self {
        let rng = fastrand::Rng::with_seed(cfg.seed);
        Self {
            cfg,
            catalog: Arc::default(),
            since: Stamp::ZERO,
            started: None,
            ready: false,
            tail: VecDeque::new(),
            peers: BTreeMap::new(),
            watch: Watch::default(),
            head: None,
            reading: None,
            asked: None,
            rng,
        }
    }

    /// The catalog in force.
    #[must_use]
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// When the catalog came into force.
    #[must_use]
    pub fn since(&self) -> Stamp {
        self.since
    }

    /// Whether a catalog known to be current at some time after the start is in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether the platform is followed and has answered lately.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watch.active && self.watch.working
    }

    /// Handles one event.
    ///
    /// # Panics
    /// When the catalog would step back, which would be a defect.
    pub fn on(&mut self, now: Stamp, event: ReplicaEvent, effects: &mut Vec<ReplicaEffect>) {
        self.started.get_or_insert(now);
        let before = (self.catalog.revision, self.is_watching());
        match event {
            ReplicaEvent::Peers(live) => self.meet(&live),
            ReplicaEvent::Beat {
                from,
                revision,
                watching,
            } => self.beat(&from, revision, watching),
            ReplicaEvent::Notes { from, notes } => self.take_notes(now, &from, &notes, effects),
            ReplicaEvent::Whole { from, catalog } => self.take_whole(now, &from, catalog, effects),
            ReplicaEvent::Wanted(from) => self.answer(now, &from, effects),
            ReplicaEvent::Head(head) => self.take_head(now, head, effects),
            ReplicaEvent::Snapshot(read) => self.take_snapshot(now, read, effects),
            ReplicaEvent::WatchOpened => self.opened(now, effects),
            ReplicaEvent::WatchFailed => self.failed(now),
            ReplicaEvent::Tick => {}
        }
        self.follow(now, effects);
        self.repair(now, effects);
        self.settle(now, effects);
        assert!(
            self.catalog.revision >= before.0,
            "the catalog stepped back"
        );
        if before != (self.catalog.revision, self.is_watching()) {
            effects.push(ReplicaEffect::Announce);
        }
    }

    fn meet(&mut self, live: &[PeerInfo]) {
        let mut old = std::mem::take(&mut self.peers);
        for info in live {
            let known = old.remove(&info.name);
            let peer = known.unwrap_or_else(|| Peer {
                domain: info.domain.clone(),
                revision: info.revision,
                watching: false,
                sent: None,
            });
            self.peers.insert(info.name.clone(), peer);
        }
    }

    fn beat(&mut self, from: &str, revision: u64, watching: bool) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.revision = revision;
            peer.watching = watching;
        }
    }

    fn take_notes(
        &mut self,
        now: Stamp,
        from: &Name,
        notes: &[ReleaseNote],
        effects: &mut Vec<ReplicaEffect>,
    ) {
        let Some(last) = notes.last().map(ReleaseNote::revision) else {
            return;
        };
        self.learn(from, last);
        if !self.extend(now, notes, &Source::Peer(from.clone()), effects)
            && last > self.catalog.revision
        {
            self.ask(now, from, effects);
        }
    }

    /// Applies the notes that continue the catalog; `false` when a gap or contradiction is left.
    fn extend(
        &mut self,
        now: Stamp,
        notes: &[ReleaseNote],
        source: &Source,
        effects: &mut Vec<ReplicaEffect>,
    ) -> bool {
        let mut next = self.catalog.clone();
        let mut applied = Vec::new();
        for note in notes {
            if note.against < next.revision {
                continue;
            }
            let Ok(made) = next.apply(note) else {
                break;
            };
            next = Arc::new(made);
            applied.push(note.clone());
        }
        if next.revision > self.catalog.revision {
            self.tail.extend(applied);
            while self.tail.len() > TAIL {
                self.tail.pop_front();
            }
            self.install(now, next, source, effects);
        }
        let last = notes.last().map_or(0, ReleaseNote::revision);
        self.catalog.revision >= last
    }

    fn take_whole(
        &mut self,
        now: Stamp,
        from: &Name,
        catalog: Arc<Catalog>,
        effects: &mut Vec<ReplicaEffect>,
    ) {
        self.learn(from, catalog.revision);
        if catalog.revision > self.catalog.revision {
            self.tail.clear();
            self.install(now, catalog, &Source::Peer(from.clone()), effects);
        }
    }

    fn learn(&mut self, from: &str, revision: u64) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.revision = peer.revision.max(revision);
        }
    }

    fn take_head(&mut self, now: Stamp, head: CatalogHead, effects: &mut Vec<ReplicaEffect>) {
        if head.revision <= self.catalog.revision {
            self.ready = true;
            return;
        }
        if self.extend(now, &head.tail, &Source::Platform, effects)
            && self.catalog.revision >= head.revision
        {
            self.ready = true;
            return;
        }
        let newer = self
            .head
            .as_ref()
            .is_none_or(|h| h.revision < head.revision);
        if newer {
            self.head = Some(head);
        }
        self.read_snapshot(now, effects);
    }

    fn read_snapshot(&mut self, now: Stamp, effects: &mut Vec<ReplicaEffect>) {
        let Some(head) = &self.head else {
            return;
        };
        if self.reading.is_none() && head.snapshot.revision > self.catalog.revision {
            self.reading = Some((head.snapshot.clone(), now));
            effects.push(ReplicaEffect::ReadSnapshot(head.snapshot.clone()));
        }
    }

    fn take_snapshot(
        &mut self,
        now: Stamp,
        read: Option<Arc<Catalog>>,
        effects: &mut Vec<ReplicaEffect>,
    ) {
        self.reading = None;
        let Some(catalog) = read else {
            self.head = None;
            effects.push(ReplicaEffect::ReadHead);
            return;
        };
        if catalog.revision > self.catalog.revision {
            self.tail.clear();
            self.install(now, catalog, &Source::Platform, effects);
        }
        if let Some(head) = self.head.take() {
            self.take_head(now, head, effects);
        }
    }

    fn install(
        &mut self,
        now: Stamp,
        next: Arc<Catalog>,
        source: &Source,
        effects: &mut Vec<ReplicaEffect>,
    ) {
        assert!(
            next.revision > self.catalog.revision,
            "the catalog stepped back"
        );
        self.catalog = next;
        self.since = now;
        effects.push(ReplicaEffect::Install(self.catalog.clone()));
        for to in self.relays(source) {
            self.send_notes(now, &to, effects);
        }
    }

    /// Peers to which a new revision is relayed at once: the own children in a binary tree over the
    /// domain, roots of the tree that do not watch, and entries of other domains that do not watch
    /// and for which this entry is one of the best placed to tell.
    fn relays(&self, source: &Source) -> Vec<Name> {
        let near = self.ranked();
        let own = near.iter().position(|name| *name == self.cfg.name);
        let own = own.unwrap_or_default();
        let from_near = matches!(source, Source::Peer(from)
            if self.peers.get(from).is_some_and(|p| p.domain == self.cfg.domain));
        let children = near.iter().skip(2 * own + WATCHERS).take(WATCHERS);
        let roots = near.iter().take(WATCHERS).filter(|name| {
            let watching = self.peers.get(*name).is_some_and(|p| p.watching);
            !watching && (!from_near || own < WATCHERS)
        });
        let far = self.peers.iter().filter(|(name, peer)| {
            peer.domain != self.cfg.domain && !peer.watching && self.sender_rank(name) < WATCHERS
        });
        let mut relays: Vec<_> = children.chain(roots).cloned().collect();
        relays.extend(far.map(|(name, _)| name.clone()));
        relays.sort();
        relays.dedup();
        relays.retain(|name| {
            let behind = self.peers.get(name);
            let sender = matches!(source, Source::Peer(from) if from == name);
            !sender && behind.is_some_and(|p| p.revision < self.catalog.revision)
        });
        relays
    }

    /// Names of the domain's live entries with the own one, best ranked first.
    fn ranked(&self) -> Vec<Name> {
        let near = self.near().map(|(name, _)| name.clone());
        let mut names: Vec<_> = near.chain([self.cfg.name.clone()]).collect();
        names.sort_by_key(|name| rank_key(&self.cfg.domain, name));
        names
    }

    fn near(&self) -> impl Iterator<Item = (&Name, &Peer)> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.domain == self.cfg.domain)
    }

    /// Rank of the own entry among those known to be able to bring `to` up to date.
    fn sender_rank(&self, to: &str) -> usize {
        let needed = self.peers.get(to).map_or(0, |p| p.revision);
        let able = self.peers.iter();
        let able = able.filter(|(name, p)| &***name != to && p.revision > needed);
        rank_of(to, &self.cfg.name, able.map(|(name, _)| &**name))
    }

    /// Sends the notes that `to` misses, or the last one when too many are missing; it then asks.
    fn send_notes(&mut self, now: Stamp, to: &Name, effects: &mut Vec<ReplicaEffect>) {
        let Some(peer) = self.peers.get_mut(to) else {
            return;
        };
        peer.sent = Some((self.catalog.revision, now));
        let covers = self
            .tail
            .front()
            .is_some_and(|n| n.against <= peer.revision);
        let missing = self.tail.iter().filter(|n| n.against >= peer.revision);
        let message = if covers {
            PeerMessage::Notes(missing.cloned().collect())
        } else if let Some(last) = self.tail.back() {
            PeerMessage::Notes(vec![last.clone()])
        } else {
            PeerMessage::WholeCatalog(self.catalog.clone())
        };
        let to = to.clone();
        effects.push(ReplicaEffect::Send { to, message });
    }

    fn answer(&mut self, now: Stamp, from: &Name, effects: &mut Vec<ReplicaEffect>) {
        let Some(peer) = self.peers.get_mut(from) else {
            return;
        };
        if self.catalog.revision == 0 {
            return;
        }
        peer.sent = Some((self.catalog.revision, now));
        let message = PeerMessage::WholeCatalog(self.catalog.clone());
        let to = from.clone();
        effects.push(ReplicaEffect::Send { to, message });
    }

    fn ask(&mut self, now: Stamp, to: &Name, effects: &mut Vec<ReplicaEffect>) {
        if self.asked.is_some_and(|at| now < at + REPEAT) {
            return;
        }
        self.asked = Some(now);
        effects.push(ReplicaEffect::Send {
            to: to.clone(),
            message: PeerMessage::WantCatalog,
        });
    }

    /// Sends notes again to peers that still report an older revision.
    fn repair(&mut self, now: Stamp, effects: &mut Vec<ReplicaEffect>) {
        let revision = self.catalog.revision;
        let settled = now.saturating_sub(self.since);
        if revision == 0 || settled < REPAIR {
            return;
        }
        let due = self.peers.iter().filter(|(name, peer)| {
            let repeated = peer
                .sent
                .is_some_and(|(sent, at)| sent == revision && now < at + REPEAT);
            peer.revision < revision
                && !repeated
                && settled
                    >= REPAIR
                        + REPAIR_STEP * u32::try_from(self.sender_rank(name)).unwrap_or(u32::MAX)
        });
        for to in due.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.send_notes(now, &to, effects);
        }
    }

    /// Becomes ready from peers alone when the platform does not answer.
    fn settle(&mut self, now: Stamp, effects: &mut Vec<ReplicaEffect>) {
        if self.ready {
            return;
        }
        let best = self.peers.iter().max_by_key(|(_, p)| p.revision);
        let Some((name, newest)) = best.map(|(name, p)| (name.clone(), p.revision)) else {
            return;
        };
        if newest > self.catalog.revision {
            self.ask(now, &name, effects);
        } else if newest > 0 && now >= self.started.unwrap_or(now) + SETTLE {
            self.ready = true;
        }
    }
}

/// The watch at the platform.
impl Replica {
    fn follow(&mut self, now: Stamp, effects: &mut Vec<ReplicaEffect>) {
        let own = rank_key(&self.cfg.domain, &self.cfg.name);
        let better = self
            .near()
            .filter(|(name, _)| rank_key(&self.cfg.domain, name) < own);
        let (rank, working) = better.fold((0, 0), |(rank, working), (_, peer)| {
            (rank + 1, working + usize::from(peer.watching))
        });
        if working < WATCHERS || !self.ready {
            self.watch.unwanted_since = None;
            let since = *self.watch.wanted_since.get_or_insert(now);
            self.watch.active |= now >= since + STAGGER * rank;
        } else {
            self.watch.wanted_since = None;
            let since = *self.watch.unwanted_since.get_or_insert(now);
            if self.watch.active && now >= since + HANDOVER {
                self.watch = Watch::default();
                effects.push(ReplicaEffect::CloseWatch);
            }
        }
        if self.watch.active {
            self.open_watch(now, effects);
        }
    }

    fn open_watch(&mut self, now: Stamp, effects: &mut Vec<ReplicaEffect>) {
        if let Some(since) = self.watch.opening {
            if now >= since + SLOW_OPEN {
                self.watch.working = false;
            }
            if now < since + STUCK_OPEN {
                return;
            }
        } else if now < self.watch.next {
            return;
        }
        self.watch.opening = Some(now);
        effects.push(ReplicaEffect::OpenWatch);
    }

    fn opened(&mut self, now: Stamp, effects: &mut Vec<ReplicaEffect>) {
        if !self.watch.active {
            effects.push(ReplicaEffect::CloseWatch);
            return;
        }
        self.watch.opening = None;
        self.watch.working = true;
        self.watch.failures = 0;
        self.watch.next = now + ROTATE;
    }

    /// Full jitter: a uniform pause below an exponentially growing bound.
    fn failed(&mut self, now: Stamp) {
        self.watch.opening = None;
        self.watch.working = false;
        let bound = RETRY_BASE * 2_u32.saturating_pow(self.watch.failures.min(8));
        self.watch.failures += 1;
        self.watch.next = now + bound.min(RETRY_CAP).mul_f64(self.rng.f64());
    }
}
