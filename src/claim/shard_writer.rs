//! Queue and object cache of one shard's writer.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::claim::cached_object::CachedObject;
use crate::claim::queue::OpQueue;
use crate::claim::{ClaimError, OpResult, TimeBucket};
use crate::prelude::*;

/// Most objects cached for one shard.
const MAX_CACHED_OBJECTS: usize = 32;

/// Result of an operation submitted to a shard writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CommitResult {
    /// The operation was committed, or needed no write, with this result.
    Done(OpResult),
    /// Nothing was written for the operation.
    NotWritten(ClaimError),
    /// The operation may or may not take effect.
    Unresolved,
}

/// Sends an operation's result to its submitter.
pub(crate) type ResultSender = async_channel::Sender<CommitResult>;

/// Queued operations and cached objects of one shard at this entry.
pub(crate) struct ShardWriter {
    queue: Mutex<WriteQueue>,
    cache: Mutex<HashMap<TimeBucket, CachedObject>>,
}

/// Operations that wait to be committed.
pub(crate) struct WriteQueue {
    /// Operations in order of arrival.
    pub(crate) ops: OpQueue<ResultSender>,
    /// Whether a task that commits the operations is running; there is one at a time.
    pub(crate) committing: bool,
}

impl ShardWriter {
    /// Creates a writer whose writes start at least `write_interval` apart.
    pub(crate) fn new(write_interval: Duration) -> Self {
        Self {
            queue: Mutex::new(WriteQueue {
                ops: OpQueue::new(write_interval),
                committing: false,
            }),
            cache: Mutex::default(),
        }
    }

    pub(crate) fn queue(&self) -> MutexGuard<'_, WriteQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn cache(&self) -> MutexGuard<'_, HashMap<TimeBucket, CachedObject>> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Caches an object; drops the one confirmed longest ago when there are too many.
    pub(crate) fn cache_object(&self, bucket: TimeBucket, cached: CachedObject) {
        let mut cache = self.cache();
        cache.insert(bucket, cached);
        if cache.len() > MAX_CACHED_OBJECTS {
            let oldest = cache
                .iter()
                .min_by_key(|(_, c)| c.confirmed_at)
                .map(|(b, _)| *b);
            oldest.and_then(|b| cache.remove(&b));
        }
    }
}
