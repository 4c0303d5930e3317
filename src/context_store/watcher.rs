//! Watches the changes of one context store by long polling.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_io::Timer;
use futures_lite::FutureExt;

use crate::clock::time_since_boot;
use crate::context_store::{
    ContextStoreClient, PollBackoff, PollResult, StoreCallError, StoreDirectory, StoreUpdate,
};
use crate::prelude::*;

/// Longest time that a store delays its answer while it has no changes.
const POLL_WAIT: Duration = Duration::from_millis(700);
/// The same while changes are relayed through hubs: shorter, since they reach other entries later.
const POLL_WAIT_RELAYED: Duration = Duration::from_millis(400);
/// Time beyond the poll's wait after which a store without an answer counts as unreachable.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// Pause after an answer, so that the next one carries several changes.
const BATCH_PAUSE: Duration = Duration::from_millis(60);
/// The same while changes are relayed through hubs.
const BATCH_PAUSE_RELAYED: Duration = Duration::from_millis(150);
/// Time between checks whether this entry is to watch the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time within which an answer came at once.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// Timeout of a request for the full list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps the directory's view of one store up to date.
pub(crate) struct StoreWatcher {
    /// Address of the store.
    pub store: SocketAddr,
    /// Client of the context stores.
    pub stores: Arc<dyn ContextStoreClient>,
    /// Directory to update.
    pub directory: Arc<Mutex<StoreDirectory>>,
    /// Boot time at which the directory's clock is zero.
    pub origin: Duration,
    /// Estimate of the targets' clock, by which fetch deadlines are measured; updated from the
    /// store's answers.
    pub fetch_clock: Arc<crate::gateway::FetchClock>,
    /// Decides whether this entry watches the store, and relays changes to the other entries.
    pub relay: Arc<dyn StoreUpdateRelay>,
}

/// Sharing of store watches among entries. In a large system only some entries watch a store, to
/// limit its load, and relay its changes to the others.
pub(crate) trait StoreUpdateRelay: Send + Sync {
    /// Whether this entry itself is to watch a store.
    fn watches(&self, store: SocketAddr) -> bool;
    /// Whether there are so many entries that some watch stores on behalf of the others.
    fn shares_watches(&self) -> bool;
    /// Relays changes from sequence number `from` on, or the full list if `from` is zero.
    fn relay_update(&self, store: SocketAddr, from: u64, update: &StoreUpdate);
    /// Relays that a store does not answer.
    fn relay_unreachable(&self, store: SocketAddr);
}

impl StoreWatcher {
    /// Watches until the store is no longer in use.
    pub(crate) async fn run(self) {
        let mut was_reached = true;
        let mut backoff = PollBackoff::default();
        while let Some(from_seq) = self.next_seq() {
            if !self.relay.watches(self.store) {
                Timer::after(CHECK_INTERVAL).await;
                continue;
            }
            let result = self.poll(from_seq).await;
            let reached = result.is_usable();
            if reached != was_reached {
                let event = if reached { "regained" } else { "lost" };
                log::info!(
                    "event=context_store_{event} store={} result={result:?}",
                    self.store
                );
            }
            was_reached = reached;
            if !reached {
                self.directory().mark_unreachable(self.store);
                self.relay.relay_unreachable(self.store);
            }
            let batch_pause = if self.relay.shares_watches() {
                BATCH_PAUSE_RELAYED
            } else {
                BATCH_PAUSE
            };
            Timer::after(backoff.pause_after(result, batch_pause)).await;
        }
    }

    fn now(&self) -> Timestamp {
        time_since_boot().saturating_sub(self.origin)
    }

    fn next_seq(&self) -> Option<u64> {
        self.directory().next_seq(self.store)
    }

    /// Requests changes from `from_seq` on, and the full list if they do not suffice.
    async fn poll(&self, from_seq: u64) -> PollResult {
        let asked_at = self.now();
        let mut update = match self.changes(from_seq).await {
            Ok(update) => update,
            Err(StoreCallError::NoAnswer) => return PollResult::NoAnswer,
            Err(StoreCallError::Unreadable) => return PollResult::Unreadable,
        };
        self.fetch_clock.observe(time_since_boot(), update.clock_ms);
        // A store whose changes are numbered anew does not have those that were asked for.
        update.gap |= update.next_seq < from_seq;
        let was_at_once = self.now().saturating_sub(asked_at) < MIN_WAIT;
        let is_repeated = update.next_seq == from_seq && was_at_once;
        if !update.gap && from_seq > 0 {
            self.relay.relay_update(self.store, from_seq, &update);
        }
        let is_incomplete = self
            .directory()
            .apply_changes(self.now(), self.store, update);
        if is_incomplete {
            self.read_list().await
        } else if is_repeated {
            PollResult::Repeated
        } else {
            PollResult::Current
        }
    }

    async fn changes(&self, from_seq: u64) -> Result<StoreUpdate, StoreCallError> {
        let wait = if self.relay.shares_watches() {
            POLL_WAIT_RELAYED
        } else {
            POLL_WAIT
        };
        let changes = self.stores.changes(self.store, from_seq, wait);
        changes.or(no_answer_after(wait + ANSWER_MARGIN)).await
    }

    /// Requests the full list. One that does not arrive in time is no less costly when it is requested
    /// again.
    async fn read_list(&self) -> PollResult {
        let list = self.stores.list(self.store);
        let Ok(list) = list.or(no_answer_after(LIST_TIMEOUT)).await else {
            return PollResult::Unreadable;
        };
        self.relay.relay_update(self.store, 0, &list);
        self.directory().apply_list(self.now(), self.store, list);
        PollResult::Listed
    }

    fn directory(&self) -> MutexGuard<'_, StoreDirectory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn no_answer_after(timeout: Duration) -> Result<StoreUpdate, StoreCallError> {
    Timer::after(timeout).await;
    Err(StoreCallError::NoAnswer)
}
