//! Frees kept context that nobody fetches any more.

use std::net::SocketAddr;

use crate::context_store::PartKey;
use crate::gateway::control::Control;
use crate::prelude::*;

/// Interval of looking for context to be freed.
const INTERVAL: Duration = Duration::from_millis(400);

type Unused = Vec<(SocketAddr, u64, Vec<PartKey>)>;

impl Control {
    /// Frees what stores keep of retired context, for ever; the first live entry by name does so.
    pub(crate) async fn run_frees(self: Arc<Self>) {
        loop {
            Self::spread_sleep(INTERVAL).await;
            for (store, epoch, parts) in self.unused() {
                let count = parts.len();
                let done = self.stores.free(store, epoch, parts).await;
                log::info!("event=context_freed store={store} parts={count} done={done}");
            }
        }
    }

    fn unused(&self) -> Unused {
        let now = self.now();
        let mut state = self.state();
        let others = state.other_entries(&self.name);
        let agreed = state.retirement.freeable(now, &others);
        let freed = agreed.union(state.without_targets(now));
        let first = state.peers.iter().all(|peer| *peer > self.name);
        drop(state);
        if !first {
            return Unused::new();
        }
        self.shared.kept().freeable_parts(now, freed)
    }
}
