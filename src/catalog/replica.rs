//! Decides how one entry's replica of the catalog follows the platform and its peers.

mod relay;
mod watch;

use std::collections::{BTreeMap, VecDeque};

use crate::catalog::{
    Catalog, CatalogHead, ReleaseNote, ReplicaEffect, ReplicaEvent, SnapshotRef, Source,
};
use crate::peer::{PeerInfo, PeerMessage, rank_key};
use crate::prelude::*;

use watch::{Demand, Watch};

/// Entries of a domain that follow the catalog at the platform.
pub const WATCHERS: usize = 2;
/// How long an entry that cannot reach the platform collects revisions from peers before it
/// counts as ready.
const SETTLE: Duration = Duration::from_secs(2);
/// Pause before the same peer is requested for or sent the same again.
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
    sent: Option<(u64, Timestamp)>,
}

/// State of one entry's replica.
#[derive(Debug)]
pub struct Replica {
    cfg: ReplicaSettings,
    catalog: Arc<Catalog>,
    since: Timestamp,
    started: Option<Timestamp>,
    ready: bool,
    tail: VecDeque<ReleaseNote>,
    peers: BTreeMap<Name, Peer>,
    watch: Watch,
    head: Option<CatalogHead>,
    reading: Option<(SnapshotRef, Timestamp)>,
    requested: Option<Timestamp>,
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
            since: Timestamp::ZERO,
            started: None,
            ready: false,
            tail: VecDeque::new(),
            peers: BTreeMap::new(),
            watch: Watch::default(),
            head: None,
            reading: None,
            requested: None,
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
    pub fn since(&self) -> Timestamp {
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
        self.watch.is_working()
    }

    /// Handles one event.
    ///
    /// # Panics
    /// When the catalog would step back, which would be a defect.
    pub fn on(&mut self, now: Timestamp, event: ReplicaEvent, effects: &mut Vec<ReplicaEffect>) {
        self.started.get_or_insert(now);
        let before = (self.catalog.revision, self.is_watching());
        match event {
            ReplicaEvent::Peers(live) => self.update_peers(&live),
            ReplicaEvent::Beat {
                from,
                revision,
                watching,
            } => self.on_beat(&from, revision, watching),
            ReplicaEvent::Notes { from, notes } => self.on_notes(now, &from, &notes, effects),
            ReplicaEvent::Whole { from, catalog } => self.on_whole(now, &from, catalog, effects),
            ReplicaEvent::Wanted(from) => self.send_catalog(now, &from, effects),
            ReplicaEvent::Head(head) => self.on_head(now, head, effects),
            ReplicaEvent::Snapshot(read) => self.on_snapshot(now, read, effects),
            ReplicaEvent::WatchOpened => self.watch.opened(now, effects),
            ReplicaEvent::WatchFailed => self.watch.failed(now, &mut self.rng),
            ReplicaEvent::Tick => {}
        }
        let demand = self.demand();
        self.watch.follow(now, demand, effects);
        self.repair(now, effects);
        self.become_ready(now, effects);
        assert!(
            self.catalog.revision >= before.0,
            "the catalog stepped back"
        );
        if before != (self.catalog.revision, self.is_watching()) {
            effects.push(ReplicaEffect::Announce);
        }
    }

    fn update_peers(&mut self, live: &[PeerInfo]) {
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

    fn on_beat(&mut self, from: &str, revision: u64, watching: bool) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.revision = revision;
            peer.watching = watching;
        }
    }

    fn on_notes(
        &mut self,
        now: Timestamp,
        from: &Name,
        notes: &[ReleaseNote],
        effects: &mut Vec<ReplicaEffect>,
    ) {
        let Some(last) = notes.last().map(ReleaseNote::revision) else {
            return;
        };
        self.note_revision(from, last);
        if !self.extend(now, notes, &Source::Peer(from.clone()), effects)
            && last > self.catalog.revision
        {
            self.request_catalog(now, from, effects);
        }
    }

    /// Applies the notes that continue the catalog; `false` when a gap or contradiction is left.
    fn extend(
        &mut self,
        now: Timestamp,
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

    fn on_whole(
        &mut self,
        now: Timestamp,
        from: &Name,
        catalog: Arc<Catalog>,
        effects: &mut Vec<ReplicaEffect>,
    ) {
        self.note_revision(from, catalog.revision);
        if catalog.revision > self.catalog.revision {
            self.tail.clear();
            self.install(now, catalog, &Source::Peer(from.clone()), effects);
        }
    }

    fn note_revision(&mut self, from: &str, revision: u64) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.revision = peer.revision.max(revision);
        }
    }

    fn on_head(&mut self, now: Timestamp, head: CatalogHead, effects: &mut Vec<ReplicaEffect>) {
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

    fn read_snapshot(&mut self, now: Timestamp, effects: &mut Vec<ReplicaEffect>) {
        let Some(head) = &self.head else {
            return;
        };
        if self.reading.is_none() && head.snapshot.revision > self.catalog.revision {
            self.reading = Some((head.snapshot.clone(), now));
            effects.push(ReplicaEffect::ReadSnapshot(head.snapshot.clone()));
        }
    }

    fn on_snapshot(
        &mut self,
        now: Timestamp,
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
            self.on_head(now, head, effects);
        }
    }

    fn install(
        &mut self,
        now: Timestamp,
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

    fn send_catalog(&mut self, now: Timestamp, from: &Name, effects: &mut Vec<ReplicaEffect>) {
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

    fn request_catalog(&mut self, now: Timestamp, to: &Name, effects: &mut Vec<ReplicaEffect>) {
        if self.requested.is_some_and(|at| now < at + REPEAT) {
            return;
        }
        self.requested = Some(now);
        effects.push(ReplicaEffect::Send {
            to: to.clone(),
            message: PeerMessage::WantCatalog,
        });
    }

    /// Becomes ready from peers alone when the platform does not answer.
    fn become_ready(&mut self, now: Timestamp, effects: &mut Vec<ReplicaEffect>) {
        if self.ready {
            return;
        }
        let best = self.peers.iter().max_by_key(|(_, p)| p.revision);
        let Some((name, newest)) = best.map(|(name, p)| (name.clone(), p.revision)) else {
            return;
        };
        if newest > self.catalog.revision {
            self.request_catalog(now, &name, effects);
        } else if newest > 0 && now >= self.started.unwrap_or(now) + SETTLE {
            self.ready = true;
        }
    }

    /// How much this entry's watch is needed.
    fn demand(&self) -> Demand {
        let own = rank_key(&self.cfg.domain, &self.cfg.name);
        let near = self.near();
        let better = near.filter(|(name, _)| rank_key(&self.cfg.domain, name) < own);
        let (rank, working) = better.fold((0, 0), |(rank, working), (_, peer)| {
            (rank + 1, working + usize::from(peer.watching))
        });
        Demand {
            rank,
            wanted: working < WATCHERS || !self.ready,
        }
    }

    fn near(&self) -> impl Iterator<Item = (&Name, &Peer)> {
        let peers = self.peers.iter();
        peers.filter(|(_, peer)| peer.domain == self.cfg.domain)
    }
}
