//! Deletes the objects of windows that no key can reach any more.

use log::Level;
use serde::{Deserialize, Serialize};

use crate::claim::core::Core;
use crate::claim::{ShardState, Window};
use crate::clock::unix_ms;
use crate::platform::{Object, PlatformError};
use crate::prelude::*;
use crate::telemetry::log_event;

/// Pause between two rounds of collection.
pub(crate) const ROUND: Duration = Duration::from_secs(30);
/// Windows visited in one round of one shard.
const MAX_VISITS: usize = 64;

/// How far a shard is collected; the `spec` of its object `collected-{shard}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Cursor {
    /// Next window to visit.
    next: u64,
}

impl Core {
    /// Collects the shards that this entry owns.
    pub(crate) async fn collect(&self) {
        for shard in 0..self.shards() {
            let owner = self.owners(shard).into_iter().next();
            if owner.as_ref() != Some(&self.entry) {
                continue;
            }
            if let Err(err) = self.collect_shard(shard).await {
                log_event(Level::Debug, "collection_stopped", &[("cause", &err)]);
                return;
            }
        }
    }

    async fn collect_shard(&self, shard: u32) -> Result<(), PlatformError> {
        if self.breaker().closed_since().is_none() {
            return Err(PlatformError::Unreachable("breaker is open".into()));
        }
        let name: Name = format!("collected-{shard}").into();
        let newest = Window::collectable(shard, unix_ms()).index;
        let found = self
            .call(self.platform.get(ShardState::KIND, &name))
            .await?;
        let Some(object) = found else {
            let spec = serde_json::json!(Cursor { next: newest });
            let object = Object::new(ShardState::KIND, name, spec);
            return self.call(self.platform.create(object)).await.map(|_| ());
        };
        let cursor: Cursor = object
            .decode()
            .map_err(|err| PlatformError::Rejected(err.to_string()))?;
        let mut next = cursor.next;
        for _ in 0..MAX_VISITS {
            let window = Window { shard, index: next };
            if next > newest || !self.collect_window(window).await? {
                break;
            }
            next += 1;
        }
        if next == cursor.next {
            return Ok(());
        }
        let spec = serde_json::json!(Cursor { next });
        let moved = Object { spec, ..object };
        self.call(self.platform.update(moved)).await.map(|_| ())
    }

    /// Deletes a window's object; `false` when its claims still matter.
    async fn collect_window(&self, window: Window) -> Result<bool, PlatformError> {
        let cached = self.read(window).await?;
        let Some(version) = cached.version else {
            return Ok(true);
        };
        if !cached.state.may_collect(window, unix_ms()) {
            return Ok(false);
        }
        let delete = self
            .platform
            .delete(ShardState::KIND, &window.name(), version);
        match self.call(delete).await {
            Ok(()) | Err(PlatformError::NotFound) => Ok(true),
            Err(err) => Err(err),
        }
    }
}
