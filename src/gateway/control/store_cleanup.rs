//! Frees stored context that no entry fetches any more.

use std::net::SocketAddr;

use crate::context_store::PartKey;
use crate::gateway::control::Control;
use crate::prelude::*;

/// Interval between two searches for context to free.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(400);

/// Address and epoch of each store, and the parts to free in it.
type FreeableParts = Vec<(SocketAddr, u64, Vec<PartKey>)>;

impl Control {
    /// Frees context that all entries have retired, and context of versions older than any target
    /// has, if this entry is the first live one by name; never returns.
    pub(crate) async fn run_store_cleanup(self: Arc<Self>) {
        loop {
            Self::sleep_with_jitter(CLEANUP_INTERVAL).await;
            for (store, epoch, parts) in self.freeable_parts() {
                let count = parts.len();
                let done = self.stores.free(store, epoch, parts).await;
                log::info!("event=context_freed store={store} parts={count} done={done}");
            }
        }
    }

    fn freeable_parts(&self) -> FreeableParts {
        let now = self.now();
        let mut state = self.state();
        // Evaluated at every entry, since both measure for how long context has been unused; an
        // entry that becomes the first need not measure anew.
        let others = state.other_entries(&self.name);
        let agreed = state.retirement.freeable(now, &others);
        let freed = agreed.union(state.versions_without_targets(now));
        let is_first = state.peers.iter().all(|peer| *peer > self.name);
        drop(state);
        if !is_first {
            return FreeableParts::new();
        }
        self.shared.store_directory().freeable_parts(now, freed)
    }
}
