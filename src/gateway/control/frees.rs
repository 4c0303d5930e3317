//! Frees kept context that no target can use any more.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::gateway::control::Control;
use crate::kept::StorePart;
use crate::prelude::*;

/// Interval of looking for context that nobody uses.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time after the last target left a weight version from which its kept context is freed; longer
/// than any fetch that was begun before.
const FREE_AFTER: Duration = Duration::from_secs(3);

type Unused = Vec<(SocketAddr, u64, Vec<StorePart>)>;

impl Control {
    /// Frees what stores keep for weights that no target has any more, for ever; the first live
    /// entry by name does so.
    pub(crate) async fn run_frees(self: Arc<Self>) {
        let mut left = BTreeMap::new();
        loop {
            Self::spread_sleep(INTERVAL).await;
            for (store, epoch, parts) in self.unused(&mut left) {
                let count = parts.len();
                let done = self.stores.free(store, epoch, parts).await;
                log::info!("event=context_freed store={store} parts={count} done={done}");
            }
        }
    }

    /// Parts that nobody can be fetching; `left` holds since when no target has a version.
    fn unused(&self, left: &mut BTreeMap<u64, Stamp>) -> Unused {
        let now = self.now();
        let state = self.state();
        let first = state.peers.iter().all(|peer| *peer > self.name);
        let found: BTreeSet<u64> = state.effective_weights(now).map(|(_, v)| v).collect();
        drop(state);
        left.retain(|version, _| !found.contains(version));
        let Some(newest) = found.last().copied().filter(|_| first) else {
            return Unused::new();
        };
        self.shared.kept().unused(now, |scope| {
            let version = scope_version(scope).filter(|v| *v < newest && !found.contains(v));
            let Some(version) = version else {
                return true;
            };
            now < *left.entry(version).or_insert(now) + FREE_AFTER
        })
    }
}

/// The weight version in a scope of cached context.
fn scope_version(scope: &str) -> Option<u64> {
    scope.split('.').next()?.parse().ok()
}
