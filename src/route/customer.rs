//! Customers as their keys show them.

use crate::prelude::*;

/// The customer that holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// Name of the customer.
    pub customer: Name,
    /// Urgency of all its requests, zero first; the route's applies when absent.
    pub urgency: Option<u8>,
    /// Whether it shares no cached context with other customers.
    pub isolated: bool,
}
