//! Follows the changes of one store.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_io::Timer;
use futures_lite::FutureExt;

use crate::clock::time_since_boot;
use crate::kept::{ContextStores, Directory, StoreNews};
use crate::prelude::*;

/// Time for which a store waits for changes; news that hubs pass on arrive later.
const WAIT: Duration = Duration::from_millis(700);
const WAIT_CROWDED: Duration = Duration::from_millis(400);
/// Further time until a store counts as lost.
const PATIENCE: Duration = Duration::from_millis(400);
/// Pause after an answer, in which changes gather.
const GATHER: Duration = Duration::from_millis(60);
const GATHER_CROWDED: Duration = Duration::from_millis(150);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(300);
/// Longest wait for a whole list.
const LIST_TIME: Duration = Duration::from_secs(2);

/// Keeps the directory's view of one store up to date.
pub(crate) struct StoreFollower {
    /// Address of the store.
    pub store: SocketAddr,
    /// Calls to stores.
    pub stores: Arc<dyn ContextStores>,
    /// The directory.
    pub directory: Arc<Mutex<Directory>>,
    /// Boot time that is the origin of the directory's times.
    pub origin: Duration,
    /// Clock of fetches' deadlines.
    pub clock: Arc<crate::gateway::FetchClock>,
    /// Who follows which store, and who is told.
    pub relay: Arc<dyn StoreRelay>,
}

/// The other entries, as far as following stores is shared among them.
pub(crate) trait StoreRelay: Send + Sync {
    /// Whether this entry is to follow a store itself.
    fn follows(&self, store: SocketAddr) -> bool;
    /// Whether there are so many entries that some follow stores for the others.
    fn is_crowded(&self) -> bool;
    /// Passes on changes from number `from` on, or everything when that is zero.
    fn pass_on(&self, store: SocketAddr, from: u64, news: &StoreNews);
    /// Passes on that a store does not answer.
    fn pass_on_loss(&self, store: SocketAddr);
}

impl StoreFollower {
    /// Follows until the store is no longer in use.
    pub(crate) async fn run(self) {
        let mut known = true;
        while let Some(since) = self.next() {
            if !self.relay.follows(self.store) {
                Timer::after(PAUSE).await;
                continue;
            }
            let reached = self.step(since).await;
            if reached != known {
                let event = if reached { "regained" } else { "lost" };
                log::info!("event=context_store_{event} store={}", self.store);
            }
            known = reached;
            if !reached {
                self.directory().lost(self.store);
                self.relay.pass_on_loss(self.store);
            }
            let gather = if self.relay.is_crowded() {
                GATHER_CROWDED
            } else {
                GATHER
            };
            Timer::after(if reached { gather } else { PAUSE }).await;
        }
    }

    fn now(&self) -> Timestamp {
        time_since_boot().saturating_sub(self.origin)
    }

    fn next(&self) -> Option<u64> {
        self.directory().next(self.store)
    }

    async fn step(&self, since: u64) -> bool {
        let wait = if self.relay.is_crowded() {
            WAIT_CROWDED
        } else {
            WAIT
        };
        let late = async {
            Timer::after(wait + PATIENCE).await;
            None
        };
        let news = self.stores.changes(self.store, since, wait).or(late).await;
        let Some(news) = news else {
            return false;
        };
        self.clock.observe(news.clock_ms);
        if !news.gap && since > 0 {
            self.relay.pass_on(self.store, since, &news);
        }
        if !self.directory().take_changes(self.now(), self.store, news) {
            return true;
        }
        let late = async {
            Timer::after(LIST_TIME).await;
            None
        };
        let Some(list) = self.stores.list(self.store).or(late).await else {
            return false;
        };
        self.relay.pass_on(self.store, 0, &list);
        self.directory().take_list(self.now(), self.store, list);
        true
    }

    fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
