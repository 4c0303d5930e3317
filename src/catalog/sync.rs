//! Runs an entry's [`Replica`]: platform watch, snapshot reads and messages of peers.

use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_executor::{Executor, Task};
use async_io::Timer;
use futures_lite::{FutureExt, StreamExt};
use log::Level;

use crate::catalog::{
    CatalogCell, CatalogHead, CatalogStore, EntryRevision, Replica, ReplicaEffect, ReplicaEvent,
    ReplicaSettings, SnapshotRef,
};
use crate::clock::whole_millis;
use crate::peer::{PeerEvents, PeerInfo, PeerLinks, PeerMessage};
use crate::platform::{
    MAX_WATCH_SILENCE, Platform, PlatformError, Version, WatchEvent, WatchStream, WatchTiming,
};
use crate::prelude::*;
use crate::telemetry::log_event;

/// Interval at which the replica checks timeouts and delays.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps the catalog of one entry up to date.
pub struct CatalogSync {
    name: Name,
    domain: Name,
    store: CatalogStore,
    platform: Arc<dyn Platform>,
    cell: Arc<CatalogCell>,
    links: OnceLock<Arc<dyn PeerLinks>>,
    replica: Mutex<Replica>,
    /// Platform version from which the next watch starts; `None` to read the head first.
    watch_version: Mutex<Option<Version>>,
    watch: Mutex<Option<Task<()>>>,
    started: Instant,
    events_tx: Sender<ReplicaEvent>,
    events_rx: Receiver<ReplicaEvent>,
}

impl CatalogSync {
    /// Makes the state of an entry that has no catalog yet; it is idle until [`CatalogSync::run`].
    #[must_use]
    pub fn new(
        name: impl Into<Name>,
        domain: impl Into<Name>,
        platform: Arc<dyn Platform>,
        cell: Arc<CatalogCell>,
    ) -> Arc<Self> {
        let (name, domain) = (name.into(), domain.into());
        let (events_tx, events_rx) = async_channel::unbounded();
        let replica = Replica::new(ReplicaSettings {
            name: name.clone(),
            domain: domain.clone(),
            seed: fastrand::u64(..),
        });
        Arc::new(Self {
            name,
            domain,
            store: CatalogStore::new(platform.clone()),
            platform,
            cell,
            links: OnceLock::new(),
            replica: Mutex::new(replica),
            watch_version: Mutex::default(),
            watch: Mutex::default(),
            started: Instant::now(),
            events_tx,
            events_rx,
        })
    }

    /// Sets the links to peers; only the first call has an effect.
    pub fn set_links(&self, links: Arc<dyn PeerLinks>) {
        let _ = self.links.set(links);
    }

    /// Whether this entry may serve requests by the catalog in force; see [`Replica::is_ready`].
    #[must_use]
    pub fn ready(&self) -> bool {
        lock(&self.replica).is_ready()
    }

    /// Revisions in force at this entry and at each live peer, sorted by failure domain and name.
    #[must_use]
    pub fn entry_revisions(&self) -> Vec<EntryRevision> {
        let replica = lock(&self.replica);
        let own = EntryRevision {
            entry: self.name.clone(),
            domain: self.domain.clone(),
            revision: replica.catalog().revision,
            since_ms: whole_millis(self.started.elapsed().saturating_sub(replica.since())),
        };
        drop(replica);
        let peers = self.links.get().map(|l| l.live()).unwrap_or_default();
        let peers = peers.into_iter().map(|p| EntryRevision {
            entry: p.name,
            domain: p.domain,
            revision: p.revision,
            since_ms: p.since_ms,
        });
        let mut all: Vec<_> = std::iter::once(own).chain(peers).collect();
        all.sort_by(|a, b| (&a.domain, &a.entry).cmp(&(&b.domain, &b.entry)));
        all
    }

    /// Handles events until the future is dropped.
    pub async fn run(self: Arc<Self>, executor: Arc<Executor<'static>>) {
        let mut ticks = Timer::interval_at(Instant::now(), TICK_INTERVAL);
        loop {
            let tick = async {
                ticks.next().await;
                ReplicaEvent::Tick
            };
            let received = async {
                match self.events_rx.recv().await {
                    Ok(event) => event,
                    Err(_) => ReplicaEvent::Tick,
                }
            };
            let next = received.or(tick).await;
            self.handle(next, &executor);
        }
    }

    fn handle(self: &Arc<Self>, next: ReplicaEvent, executor: &Arc<Executor<'static>>) {
        let mut effects = Vec::new();
        let now = self.started.elapsed();
        lock(&self.replica).on(now, next, &mut effects);
        for effect in effects {
            self.perform(effect, executor);
        }
    }

    fn perform(self: &Arc<Self>, effect: ReplicaEffect, executor: &Arc<Executor<'static>>) {
        match effect {
            ReplicaEffect::Install(catalog) => {
                self.cell.install_if_newer(&catalog);
            }
            ReplicaEffect::Send { to, message } => {
                if let Some(links) = self.links.get() {
                    links.send(&to, message);
                }
            }
            ReplicaEffect::OpenWatch => {
                let (this, ex) = (self.clone(), executor.clone());
                executor
                    .spawn(async move { this.open_watch(&ex).await })
                    .detach();
            }
            ReplicaEffect::CloseWatch => drop(lock(&self.watch).take()),
            ReplicaEffect::ReadHead => *lock(&self.watch_version) = None,
            ReplicaEffect::ReadSnapshot(at) => {
                let this = self.clone();
                executor
                    .spawn(async move { this.read_snapshot(&at).await })
                    .detach();
            }
            ReplicaEffect::Announce => self.announce(),
        }
    }

    fn announce(&self) {
        let replica = lock(&self.replica);
        let revision = replica.catalog().revision;
        let since = self.started.elapsed().saturating_sub(replica.since());
        let watching = replica.is_watching();
        drop(replica);
        if let Some(links) = self.links.get() {
            links.announce(revision, since, watching);
        }
    }

    async fn read_snapshot(&self, at: &SnapshotRef) {
        let read = self.store.read_snapshot(at).await;
        let read = read.inspect_err(|err| log_warning("catalog_snapshot_failed", err));
        self.post(ReplicaEvent::Snapshot(read.ok().map(Arc::new)));
    }

    /// Opens a watch beside the running one and replaces the running one by it.
    async fn open_watch(self: &Arc<Self>, executor: &Arc<Executor<'static>>) {
        match self.connect_watch().await {
            Ok(stream) => {
                let this = self.clone();
                let task = executor.spawn(async move { this.read_watch(stream).await });
                drop(lock(&self.watch).replace(task));
                self.post(ReplicaEvent::WatchOpened);
            }
            Err(err) => {
                if matches!(err, PlatformError::Expired) {
                    *lock(&self.watch_version) = None;
                }
                log::debug!("event=catalog_watch_failed error={:?}", err.to_string());
                self.post(ReplicaEvent::WatchFailed);
            }
        }
    }

    async fn connect_watch(&self) -> Result<WatchStream, PlatformError> {
        let known = lock(&self.watch_version).clone();
        let version = match known {
            Some(version) => version,
            None => self.read_head().await?,
        };
        let (kind, name) = (CatalogHead::KIND, CatalogHead::NAME);
        let timing = WatchTiming::waiting(MAX_WATCH_SILENCE);
        self.platform.watch(kind, Some(name), version, timing).await
    }

    async fn read_head(&self) -> Result<Version, PlatformError> {
        let (head, version) = self.store.read_or_create_head().await?;
        *lock(&self.watch_version) = Some(version.clone());
        self.post(ReplicaEvent::Head(head));
        Ok(version)
    }

    async fn read_watch(&self, mut stream: WatchStream) {
        while let Some(Ok(event)) = stream.next().await {
            match event {
                WatchEvent::Put(object) if &*object.name == CatalogHead::NAME => {
                    *lock(&self.watch_version) = Some(object.version.clone());
                    match object.decode() {
                        Ok(head) => self.post(ReplicaEvent::Head(head)),
                        Err(err) => log_warning("catalog_head_unreadable", &err),
                    }
                }
                WatchEvent::Bookmark(version) => *lock(&self.watch_version) = Some(version),
                WatchEvent::Put(_) | WatchEvent::Deleted(_) | WatchEvent::Unreadable(_) => {}
            }
        }
        *lock(&self.watch_version) = None;
        self.post(ReplicaEvent::WatchFailed);
    }

    fn post(&self, event: ReplicaEvent) {
        let _ = self.events_tx.try_send(event);
    }
}

impl PeerEvents for CatalogSync {
    fn on_message(&self, from: &PeerInfo, message: PeerMessage) {
        let from = from.name.clone();
        match message {
            PeerMessage::Heartbeat {
                revision, watching, ..
            } => self.post(ReplicaEvent::Heartbeat {
                from,
                revision,
                watching,
            }),
            PeerMessage::Notes(notes) => self.post(ReplicaEvent::Notes { from, notes }),
            PeerMessage::WantCatalog => self.post(ReplicaEvent::CatalogRequest(from)),
            PeerMessage::WholeCatalog(catalog) => {
                self.post(ReplicaEvent::Catalog { from, catalog });
            }
            _ => {}
        }
    }

    fn on_change(&self, live: &[PeerInfo]) {
        self.post(ReplicaEvent::PeersChanged(live.to_vec()));
    }
}

fn log_warning(kind: &str, err: &dyn std::fmt::Display) {
    log_event(Level::Warn, kind, &[("error", err)]);
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
