//! Garbage collection of claim objects.
//!
//! The object of a time bucket is deleted once its outcomes have expired and its keys are too old
//! to be claimed for the first time.

use log::Level;
use serde::{Deserialize, Serialize};

use crate::claim::inner::Inner;
use crate::claim::{BucketState, TimeBucket};
use crate::clock::unix_ms;
use crate::platform::{Object, PlatformError};
use crate::prelude::*;
use crate::telemetry::log_event;

/// Pause between two rounds of garbage collection.
pub(crate) const COLLECTION_INTERVAL: Duration = Duration::from_secs(30);
/// Most time buckets of one shard visited in one round.
const MAX_BUCKETS_PER_ROUND: usize = 64;

/// Progress of garbage collection in one shard; the `spec` of the object `collected-{shard}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Cursor {
    /// Index of the next time bucket to visit.
    next: u64,
}

impl Inner {
    /// Runs one round of garbage collection over the shards that this entry owns.
    pub(crate) async fn collect_garbage(&self) {
        for shard in 0..self.shards() {
            let owner = self.ranked_owners(shard).into_iter().next();
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
            return Err(PlatformError::Unreachable("circuit breaker is open".into()));
        }
        let name: Name = format!("collected-{shard}").into();
        let newest = TimeBucket::newest_collectable(shard, unix_ms()).index;
        let found = self
            .call(self.platform.get(BucketState::KIND, &name))
            .await?;
        let Some(object) = found else {
            let spec = serde_json::json!(Cursor { next: newest });
            let object = Object::new(BucketState::KIND, name, spec);
            return self.call(self.platform.create(object)).await.map(|_| ());
        };
        let cursor: Cursor = object
            .decode()
            .map_err(|err| PlatformError::Rejected(err.to_string()))?;
        let mut next = cursor.next;
        for _ in 0..MAX_BUCKETS_PER_ROUND {
            let bucket = TimeBucket { shard, index: next };
            if next > newest || !self.collect_bucket(bucket).await? {
                break;
            }
            next += 1;
        }
        if next == cursor.next {
            return Ok(());
        }
        let spec = serde_json::json!(Cursor { next });
        let advanced = Object { spec, ..object };
        self.call(self.platform.update(advanced)).await.map(|_| ())
    }

    /// Deletes the object of a time bucket; `false` when the object has not expired yet.
    async fn collect_bucket(&self, bucket: TimeBucket) -> Result<bool, PlatformError> {
        let cached = self.read(bucket).await?;
        let Some(version) = cached.version else {
            return Ok(true);
        };
        if !cached.state.may_collect(bucket, unix_ms()) {
            return Ok(false);
        }
        let delete = self
            .platform
            .delete(BucketState::KIND, &bucket.object_name(), version);
        match self.call(delete).await {
            Ok(()) | Err(PlatformError::NotFound) => Ok(true),
            Err(err) => Err(err),
        }
    }
}
