//! Frees stored context that no entry fetches any more.

use std::net::SocketAddr;

use crate::clock::time_since_boot;
use crate::context_store::{FreeCall, PartKey, RetiredVersions};
use crate::gateway::control::Control;
use crate::prelude::*;

/// Interval between two searches for context to free.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(400);

/// Time in which a store carries out a call to free context, or never: by then, entries that restart
/// may have forgotten that the context is retired.
const FREE_CALL_TIME: Duration = Duration::from_secs(2);

/// Address and epoch of each store, and the parts to free in it.
type FreeableParts = Vec<(SocketAddr, u64, Vec<PartKey>)>;

impl Control {
    /// Frees context that enough entries have retired, if this entry is the first live one
    /// by name; never returns.
    pub(crate) async fn run_store_cleanup(self: Arc<Self>) {
        loop {
            Self::sleep_with_jitter(CLEANUP_INTERVAL).await;
            let freeable = self.freeable();
            for (store, epoch, parts) in self.freeable_parts(freeable) {
                let count = parts.len();
                let clock = &self.shared.fetch_clock;
                let call = FreeCall {
                    store,
                    epoch,
                    until_ms: clock.after(time_since_boot(), FREE_CALL_TIME),
                    parts,
                };
                let done = self.stores.free(call).await;
                let (all, half) = (freeable.all_below, freeable.half_below);
                log::info!(
                    "event=context_freed store={store} epoch={epoch} parts={count} done={done} \
                     all_below={all} half_below={half}"
                );
            }
        }
    }

    /// What this entry may free: nothing unless it is the first live one.
    fn freeable(&self) -> RetiredVersions {
        let now = self.now();
        let mut state = self.state();
        // Every entry keeps track of how long enough entries have agreed, so that one that becomes the
        // first need not start over.
        let Some(others) = state.current_others(now, &self.name) else {
            return RetiredVersions::default();
        };
        let agreed = state.retirement.freeable(now, &others);
        let is_first = state.peers.iter().all(|peer| *peer > self.name);
        if is_first {
            agreed
        } else {
            RetiredVersions::default()
        }
    }

    fn freeable_parts(&self, freeable: RetiredVersions) -> FreeableParts {
        let now = self.now();
        self.shared.store_directory().freeable_parts(now, freeable)
    }
}
