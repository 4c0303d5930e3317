//! Queue of a shard's operations, taken in batches of one time bucket.

use std::collections::VecDeque;

use crate::claim::{ClaimOp, TimeBucket};
use crate::prelude::*;

/// Most operations queued for one shard.
const MAX_QUEUED_OPS: usize = 4_096;
/// Most operations in one write.
const MAX_BATCH_OPS: usize = 512;
/// Age from which a queued settle or release takes precedence over new claims.
const END_PRECEDENCE_AGE: Duration = Duration::from_millis(500);
/// Weight of the latest write in the moving average of the write time.
const WRITE_TIME_WEIGHT: f64 = 0.3;

/// A queued operation; `T` is where its result is sent.
#[derive(Debug)]
pub struct QueuedOp<T> {
    /// When the operation was queued.
    pub queued_at: Timestamp,
    /// Time bucket of its key.
    pub bucket: TimeBucket,
    /// The operation.
    pub op: ClaimOp,
    /// Where the result is sent.
    pub reply: T,
}

/// Queue of one shard's operations; while a write is in progress, the next batch accumulates.
#[derive(Debug)]
pub struct OpQueue<T> {
    ops: VecDeque<QueuedOp<T>>,
    write_interval: Duration,
    avg_write_time: Duration,
    write_in_progress_since: Option<Timestamp>,
    last_write_started_at: Option<Timestamp>,
}

impl<T> OpQueue<T> {
    /// Creates an empty queue whose writes start at least `write_interval` apart.
    #[must_use]
    pub fn new(write_interval: Duration) -> Self {
        Self {
            ops: VecDeque::new(),
            write_interval,
            avg_write_time: Duration::ZERO,
            write_in_progress_since: None,
            last_write_started_at: None,
        }
    }

    /// Whether another operation may be queued.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.ops.len() < MAX_QUEUED_OPS
    }

    /// Appends an operation; does not check [`OpQueue::has_room`].
    pub fn push(&mut self, queued: QueuedOp<T>) {
        self.ops.push_back(queued);
    }

    /// Estimated time until the result of an operation queued at `now`: the rest of the write in
    /// progress and one more write. A write that is overdue counts with the time it is overdue.
    #[must_use]
    pub fn expected_wait(&self, now: Timestamp) -> Duration {
        let Some(since) = self.write_in_progress_since else {
            return self.avg_write_time;
        };
        let elapsed = now.saturating_sub(since);
        let remaining = self.avg_write_time.saturating_sub(elapsed);
        let overdue = elapsed.saturating_sub(self.avg_write_time);
        remaining + overdue + self.avg_write_time
    }

    /// Time until the next write may start.
    #[must_use]
    pub fn time_until_next_write(&self, now: Timestamp) -> Duration {
        let next = self
            .last_write_started_at
            .map_or(Timestamp::ZERO, |at| at + self.write_interval);
        next.saturating_sub(now)
    }

    /// Takes the next batch of at most `MAX_BATCH_OPS` operations on one time bucket: that of the
    /// oldest claim, or that of the oldest operation if it has waited for `END_PRECEDENCE_AGE`.
    /// Empty when the queue is empty.
    pub fn take_batch(&mut self, now: Timestamp) -> Vec<QueuedOp<T>> {
        let is_claim = |q: &&QueuedOp<T>| matches!(q.op, ClaimOp::Claim { .. });
        let oldest = self.ops.front();
        let overdue = oldest.filter(|q| now.saturating_sub(q.queued_at) >= END_PRECEDENCE_AGE);
        let first = overdue
            .or_else(|| self.ops.iter().find(is_claim))
            .or(oldest);
        let Some(bucket) = first.map(|q| q.bucket) else {
            return Vec::new();
        };
        let mut batch = Vec::new();
        let mut rest = VecDeque::with_capacity(self.ops.len());
        for queued in self.ops.drain(..) {
            if queued.bucket == bucket && batch.len() < MAX_BATCH_OPS {
                batch.push(queued);
            } else {
                rest.push_back(queued);
            }
        }
        self.ops = rest;
        batch
    }

    /// Records the start of a write.
    ///
    /// # Panics
    /// If a write is already in progress, which would be a bug.
    pub fn record_write_start(&mut self, now: Timestamp) {
        assert!(
            self.write_in_progress_since.is_none(),
            "queue already has a write in progress"
        );
        self.write_in_progress_since = Some(now);
        self.last_write_started_at = Some(now);
    }

    /// Records the end of the write and updates the average write time.
    pub fn record_write_end(&mut self, now: Timestamp) {
        let since = self.write_in_progress_since.take().unwrap_or(now);
        let took = now.saturating_sub(since).as_secs_f64();
        let old = self.avg_write_time.as_secs_f64();
        self.avg_write_time = Duration::from_secs_f64(old + WRITE_TIME_WEIGHT * (took - old));
    }
}
