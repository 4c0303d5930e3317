//! Queued requests of one customer.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::scheduler::RequestId;

/// Position of a request among those of its customer: earliest deadline first.
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
