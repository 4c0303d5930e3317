//! Customers as identified by their API keys.

use crate::prelude::*;

/// The customer that holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// Name of the customer.
    pub customer: Name,
    /// Urgency of all its requests, where zero is the most urgent; the route's applies when absent.
    pub urgency: Option<u8>,
    /// Whether its cached context is kept apart from that of other customers.
    pub isolated: bool,
    /// Regions in which its requests may be processed; all are if it is empty.
    pub allowed_regions: Vec<Name>,
}
