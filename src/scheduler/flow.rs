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
    /// Its requests in the order of dispatch. Those that can still meet their time go first, the
    /// earliest ahead; those that have missed it follow. Otherwise, in an overload, every request
    /// would be dispatched just after it was due.
    pub(super) fn in_order(&self, now: Timestamp) -> impl Iterator<Item = QueueKey> {
        let due = first_key(now);
        let in_time = self.waiting.range(due..);
        in_time.chain(self.waiting.range(..due)).map(|(k, _)| *k)
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
