//! Where one request may be processed.

use crate::residency::AllowedDomains;

/// Where a request may be processed that is restricted to regions; resolved once, on its arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestResidency {
    /// Failure domains in which it may run, and in which its context may be stored.
    pub targets: AllowedDomains,
    /// Failure domains whose entries may relay its body: these and those in the region of the entry
    /// that its caller connected to.
    pub relays: AllowedDomains,
}
