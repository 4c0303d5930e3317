//! Queued requests of one customer.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::scheduler::RequestId;

/// Position of a request among those of its customer: the time until which it should be
/// dispatched, and its number.
pub(super) type QueueKey = (Timestamp, RequestId);

/// Queued requests of one customer in one priority class (a flow in fair queueing).
#[derive(Debug, Default)]
pub(super) struct Flow {
    /// Weight of the customer in the sharing of targets.
    pub(super) weight: u32,
    /// Virtual time at which its next request may start.
    pub(super) virtual_start: u64,
    /// Queued requests with their costs.
    pub(super) waiting: BTreeMap<QueueKey, u32>,
    /// Earliest time at which the next refused caller may retry.
    pub(super) next_retry_at: Timestamp,
}

impl Flow {
    /// Removes the next request and returns it with its cost. Requests that can still meet their
    /// time go first, the earliest ahead; those that have missed it follow. Otherwise, in an
    /// overload, every request would be dispatched just after it was due.
    pub(super) fn pop(&mut self, now: Timestamp) -> Option<(QueueKey, u32)> {
        let due = self.waiting.range(first_key(now)..).next();
        let key = due
            .or_else(|| self.waiting.iter().next())
            .map(|(k, _)| *k)?;
        let cost = self.waiting.remove(&key)?;
        Some((key, cost))
    }

    /// Number of requests that are dispatched before the one at `key`.
    pub(super) fn ahead_of(&self, now: Timestamp, key: QueueKey) -> usize {
        let due = first_key(now);
        if key >= due {
            return self.waiting.range(due..key).count();
        }
        self.waiting.range(due..).count() + self.waiting.range(..key).count()
    }
}

/// The smallest key of a request that can still meet its time.
fn first_key(now: Timestamp) -> QueueKey {
    (now, RequestId(0))
}
