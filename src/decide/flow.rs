//! Waiting requests of one customer.

use std::collections::BTreeMap;

use crate::decide::RequestId;
use crate::prelude::*;

/// Place of a request among those of its customer: earliest deadline first.
pub(super) type QueueKey = (Timestamp, RequestId);

/// Waiting requests of one customer and class.
#[derive(Debug, Default)]
pub(super) struct Flow {
    /// Weight of the customer.
    pub(super) weight: u32,
    /// Virtual start time of its next request.
    pub(super) start: u64,
    /// Waiting requests with their costs.
    pub(super) waiting: BTreeMap<QueueKey, u32>,
    /// Time from which the next refused caller may come back.
    pub(super) next_visit: Timestamp,
}
