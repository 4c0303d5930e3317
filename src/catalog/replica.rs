//! State machine that keeps one entry's replica of the catalog up to date, from the platform and
//! from peers.

mod relay;
mod watch;

use std::collections::{BTreeMap, VecDeque};

use crate::catalog::{
    Catalog, CatalogHead, ReleaseNote, ReplicaEffect, ReplicaEvent, RevisionSource, SnapshotRef,
};
use crate::peer::{PeerInfo, PeerMessage, rendezvous_key};
use crate::prelude::*;

use watch::{Watch, WatchDemand};

/// Entries of a failure domain that watch the catalog at the platform.
pub const WATCHERS_PER_DOMAIN: usize = 2;
/// Time for which an entry that cannot reach the platform collects revisions from peers before it
/// counts as ready.
const PEER_SETTLE_TIME: Duration = Duration::from_secs(2);
/// Shortest interval between two requests for the full catalog, and between two transmissions of
/// the same revision to the same peer.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Last notes kept to bring peers up to date; a peer that lacks more requests the full catalog.
const MAX_TAIL_NOTES: usize = 1024;

/// Settings of a [`Replica`].
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Name of this entry.
    pub name: Name,
    /// Failure domain of this entry.
    pub domain: Name,
    /// Seed of the random retry delays.
    pub seed: u64,
}

/// Catalog state of a live peer.
#[derive(Debug)]
struct Peer {
    domain: Name,
    revision: u64,
    watching: bool,
    /// Revision sent to the peer last, and when.
    sent: Option<(u64, Timestamp)>,
}

/// One entry's replica of the catalog.
#[derive(Debug)]
pub struct Replica {
    cfg: ReplicaSettings,
    catalog: Arc<Catalog>,
    /// When the catalog came into force.
    since: Timestamp,
    started: Option<Timestamp>,
    ready: bool,
    /// Last notes applied, oldest first; the newest of them created the revision in force.
    tail: VecDeque<ReleaseNote>,
    peers: BTreeMap<Name, Peer>,
    watch: Watch,
    /// Newest head whose snapshot has to be read first.
    pending_head: Option<CatalogHead>,
    /// Snapshot that is being read, and when the read began.
    snapshot_read: Option<(SnapshotRef, Timestamp)>,
    catalog_requested_at: Option<Timestamp>,
    rng: fastrand::Rng,
}

impl Replica {
    /// Makes the replica of an entry that has received no catalog yet.
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
            pending_head: None,
            snapshot_read: None,
            catalog_requested_at: None,
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

    /// Whether the catalog in force is known to have been current at some time after the start.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether this entry watches the catalog at the platform and the watch works.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.watch.is_working()
    }

    /// Handles one event.
    ///
    /// # Panics
    /// When the revision of the catalog would decrease, which would be a bug.
    pub fn on(&mut self, now: Timestamp, event: ReplicaEvent, effects: &mut Vec<ReplicaEffect>) {
        self.started.get_or_insert(now);
        let before = (self.catalog.revision, self.is_watching());
        match event {
            ReplicaEvent::PeersChanged(live) => self.update_peers(&live),
            ReplicaEvent::Heartbeat {
                from,
                revision,
                watching,
            } => self.on_heartbeat(&from, revision, watching),
            ReplicaEvent::Notes { from, notes } => self.on_notes(now, &from, &notes, effects),
            ReplicaEvent::Catalog { from, catalog } => {
                self.on_catalog(now, &from, catalog, effects);
            }
            ReplicaEvent::CatalogRequest(from) => self.send_catalog(now, &from, effects),
            ReplicaEvent::Head(head) => self.on_head(now, head, effects),
            ReplicaEvent::Snapshot(read) => self.on_snapshot(now, read, effects),
            ReplicaEvent::WatchOpened => self.watch.on_opened(now, effects),
            ReplicaEvent::WatchFailed => self.watch.on_failed(now, &mut self.rng),
            ReplicaEvent::Tick => {}
        }
        let demand = self.watch_demand();
        self.watch.update(now, demand, effects);
        self.repair(now, effects);
        self.become_ready(now, effects);
        assert!(
            self.catalog.revision >= before.0,
            "the catalog revision decreased"
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

    fn on_heartbeat(&mut self, from: &str, revision: u64, watching: bool) {
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
        self.record_revision(from, last);
        if !self.apply_notes(now, notes, &RevisionSource::Peer(from.clone()), effects)
            && last > self.catalog.revision
        {
            self.request_catalog(now, from, effects);
        }
    }

    /// Applies the notes that continue the catalog; `false` when a gap or a contradiction keeps it
    /// from reaching the last note's revision.
    fn apply_notes(
        &mut self,
        now: Timestamp,
        notes: &[ReleaseNote],
        source: &RevisionSource,
        effects: &mut Vec<ReplicaEffect>,
    ) -> bool {
        let mut next = self.catalog.clone();
        let mut applied = Vec::new();
        for note in notes {
            if note.against < next.revision {
                continue;
            }
            let Ok(applied_next) = next.apply(note) else {
                break;
            };
            next = Arc::new(applied_next);
            applied.push(note.clone());
        }
        if next.revision > self.catalog.revision {
            self.tail.extend(applied);
            while self.tail.len() > MAX_TAIL_NOTES {
                self.tail.pop_front();
            }
            self.install(now, next, source, effects);
        }
        let last = notes.last().map_or(0, ReleaseNote::revision);
        self.catalog.revision >= last
    }

    fn on_catalog(
        &mut self,
        now: Timestamp,
        from: &Name,
        catalog: Arc<Catalog>,
        effects: &mut Vec<ReplicaEffect>,
    ) {
        self.record_revision(from, catalog.revision);
        if catalog.revision > self.catalog.revision {
            self.tail.clear();
            self.install(now, catalog, &RevisionSource::Peer(from.clone()), effects);
        }
    }

    fn record_revision(&mut self, from: &str, revision: u64) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.revision = peer.revision.max(revision);
        }
    }

    fn on_head(&mut self, now: Timestamp, head: CatalogHead, effects: &mut Vec<ReplicaEffect>) {
        if head.revision <= self.catalog.revision {
            self.ready = true;
            return;
        }
        if self.apply_notes(now, &head.tail, &RevisionSource::Platform, effects)
            && self.catalog.revision >= head.revision
        {
            self.ready = true;
            return;
        }
        let newer = self
            .pending_head
            .as_ref()
            .is_none_or(|h| h.revision < head.revision);
        if newer {
            self.pending_head = Some(head);
        }
        self.read_snapshot(now, effects);
    }

    fn read_snapshot(&mut self, now: Timestamp, effects: &mut Vec<ReplicaEffect>) {
        let Some(head) = &self.pending_head else {
            return;
        };
        if self.snapshot_read.is_none() && head.snapshot.revision > self.catalog.revision {
            self.snapshot_read = Some((head.snapshot.clone(), now));
            effects.push(ReplicaEffect::ReadSnapshot(head.snapshot.clone()));
        }
    }

    fn on_snapshot(
        &mut self,
        now: Timestamp,
        read: Option<Arc<Catalog>>,
        effects: &mut Vec<ReplicaEffect>,
    ) {
        self.snapshot_read = None;
        let Some(catalog) = read else {
            self.pending_head = None;
            effects.push(ReplicaEffect::ReadHead);
            return;
        };
        if catalog.revision > self.catalog.revision {
            self.tail.clear();
            self.install(now, catalog, &RevisionSource::Platform, effects);
        }
        if let Some(head) = self.pending_head.take() {
            self.on_head(now, head, effects);
        }
    }

    fn install(
        &mut self,
        now: Timestamp,
        next: Arc<Catalog>,
        source: &RevisionSource,
        effects: &mut Vec<ReplicaEffect>,
    ) {
        assert!(
            next.revision > self.catalog.revision,
            "the installed catalog is not newer"
        );
        self.catalog = next;
        self.since = now;
        effects.push(ReplicaEffect::Install(self.catalog.clone()));
        for to in self.relay_targets(source) {
            self.send_notes(now, &to, effects);
        }
    }

    fn send_catalog(&mut self, now: Timestamp, to: &Name, effects: &mut Vec<ReplicaEffect>) {
        let Some(peer) = self.peers.get_mut(to) else {
            return;
        };
        if self.catalog.revision == 0 {
            return;
        }
        peer.sent = Some((self.catalog.revision, now));
        let message = PeerMessage::WholeCatalog(self.catalog.clone());
        let to = to.clone();
        effects.push(ReplicaEffect::Send { to, message });
    }

    fn request_catalog(&mut self, now: Timestamp, to: &Name, effects: &mut Vec<ReplicaEffect>) {
        if self
            .catalog_requested_at
            .is_some_and(|at| now < at + RESEND_INTERVAL)
        {
            return;
        }
        self.catalog_requested_at = Some(now);
        effects.push(ReplicaEffect::Send {
            to: to.clone(),
            message: PeerMessage::WantCatalog,
        });
    }

    /// Lets an entry that the platform does not answer become ready from peers alone, once
    /// [`PEER_SETTLE_TIME`] has passed and no peer reports a newer revision than the one in force.
    /// Requests the catalog from a peer with a newer one.
    fn become_ready(&mut self, now: Timestamp, effects: &mut Vec<ReplicaEffect>) {
        if self.ready {
            return;
        }
        let newest_peer = self.peers.iter().max_by_key(|(_, p)| p.revision);
        let Some((name, newest)) = newest_peer.map(|(name, p)| (name.clone(), p.revision)) else {
            return;
        };
        if newest > self.catalog.revision {
            self.request_catalog(now, &name, effects);
        } else if newest > 0 && now >= self.started.unwrap_or(now) + PEER_SETTLE_TIME {
            self.ready = true;
        }
    }

    /// Rank of this entry in its domain, and whether its watch is needed.
    fn watch_demand(&self) -> WatchDemand {
        let own = rendezvous_key(&self.cfg.domain, &self.cfg.name);
        let peers = self.domain_peers();
        let better = peers.filter(|(name, _)| rendezvous_key(&self.cfg.domain, name) < own);
        let (rank, working) = better.fold((0, 0), |(rank, working), (_, peer)| {
            (rank + 1, working + usize::from(peer.watching))
        });
        WatchDemand {
            rank,
            needed: working < WATCHERS_PER_DOMAIN || !self.ready,
        }
    }

    fn domain_peers(&self) -> impl Iterator<Item = (&Name, &Peer)> {
        let peers = self.peers.iter();
        peers.filter(|(_, peer)| peer.domain == self.cfg.domain)
    }
}
