//! Operations that wait for the next write of a shard.

use std::collections::VecDeque;

use crate::claim::{ClaimOp, Window};
use crate::prelude::*;

/// Operations waiting in one shard at most.
const MAX_QUEUED: usize = 4_096;
/// Operations in one write at most.
const MAX_BATCH: usize = 512;
/// Time after which the end of a claim goes before new claims.
const END_PATIENCE: Duration = Duration::from_millis(500);
/// Weight of the newest write in the smoothed time of a write.
const SMOOTHING: f64 = 0.3;

/// One waiting operation; `T` tells whom to answer.
#[derive(Debug)]
pub struct Queued<T> {
    /// Time of its arrival.
    pub since: Timestamp,
    /// Window of its key.
    pub window: Window,
    /// The operation.
    pub op: ClaimOp,
    /// Receiver of the result.
    pub reply: T,
}

/// Operations of one shard: while a write is under way, the next batch gathers.
#[derive(Debug)]
pub struct OpQueue<T> {
    ops: VecDeque<Queued<T>>,
    spacing: Duration,
    write_time: Duration,
    writing_since: Option<Timestamp>,
    last_write: Option<Timestamp>,
}

impl<T> OpQueue<T> {
    /// Makes an empty queue whose writes start at least `spacing` apart.
    #[must_use]
    pub fn new(spacing: Duration) -> Self {
        Self {
            ops: VecDeque::new(),
            spacing,
            write_time: Duration::ZERO,
            writing_since: None,
            last_write: None,
        }
    }

    /// Tells whether another operation may be added.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.ops.len() < MAX_QUEUED
    }

    /// Adds an operation.
    pub fn push(&mut self, queued: Queued<T>) {
        self.ops.push_back(queued);
    }

    /// Time that an operation added at `now` is likely to wait for its result.
    #[must_use]
    pub fn expected_wait(&self, now: Timestamp) -> Duration {
        let Some(since) = self.writing_since else {
            return self.write_time;
        };
        let elapsed = now.saturating_sub(since);
        let left = self.write_time.saturating_sub(elapsed);
        let late = elapsed.saturating_sub(self.write_time);
        left + late + self.write_time
    }

    /// Time until the next write may start.
    #[must_use]
    pub fn pause(&self, now: Timestamp) -> Duration {
        let next = self
            .last_write
            .map_or(Timestamp::ZERO, |at| at + self.spacing);
        next.saturating_sub(now)
    }

    /// Takes the operations of one window for the next write: those of the oldest claim, unless the
    /// end of a claim has waited too long. Empty when nothing waits.
    pub fn take(&mut self, now: Timestamp) -> Vec<Queued<T>> {
        let is_claim = |q: &&Queued<T>| matches!(q.op, ClaimOp::Claim { .. });
        let oldest = self.ops.front();
        let overdue = oldest.filter(|q| now.saturating_sub(q.since) >= END_PATIENCE);
        let first = overdue
            .or_else(|| self.ops.iter().find(is_claim))
            .or(oldest);
        let Some(window) = first.map(|q| q.window) else {
            return Vec::new();
        };
        let mut batch = Vec::new();
        let mut rest = VecDeque::with_capacity(self.ops.len());
        for queued in self.ops.drain(..) {
            if queued.window == window && batch.len() < MAX_BATCH {
                batch.push(queued);
            } else {
                rest.push_back(queued);
            }
        }
        self.ops = rest;
        batch
    }

    /// Notes that a write starts.
    ///
    /// # Panics
    /// When one is under way already, which would be a defect.
    pub fn begin(&mut self, now: Timestamp) {
        assert!(self.writing_since.is_none(), "two writers in one queue");
        self.writing_since = Some(now);
        self.last_write = Some(now);
    }

    /// Notes that the write ended.
    pub fn end(&mut self, now: Timestamp) {
        let since = self.writing_since.take().unwrap_or(now);
        let took = now.saturating_sub(since).as_secs_f64();
        let old = self.write_time.as_secs_f64();
        self.write_time = Duration::from_secs_f64(old + SMOOTHING * (took - old));
    }
}
