//! A request that was accepted for scheduling.

use std::time::Instant;

use crate::gateway::RequestHead;
use crate::prelude::*;
use crate::residency::{AllowedDomains, RequestResidency};
use crate::route::{KeyHolder, Route};

/// A request that has a route and was accepted for scheduling.
pub(crate) struct AdmittedRequest {
    /// Decoded head.
    pub head: RequestHead,
    /// Complete body, if there is one.
    pub body: Option<Vec<u8>>,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Customer, unless the route is public.
    pub holder: Option<Arc<KeyHolder>>,
    /// Service whose targets run the request.
    pub service: Name,
    /// Where it may be processed; `None` when it is not restricted to regions.
    pub residency: Option<RequestResidency>,
    /// When the request was completely received.
    pub arrived: Instant,
    /// When the request times out.
    pub deadline: Instant,
}

impl AdmittedRequest {
    /// Failure domains in which it may run, if it is restricted to regions.
    pub(crate) fn allowed_targets(&self) -> Option<&AllowedDomains> {
        self.residency.as_ref().map(|r| &r.targets)
    }

    /// Failure domains whose entries may relay its body, if it is restricted to regions.
    pub(crate) fn allowed_relays(&self) -> Option<&AllowedDomains> {
        self.residency.as_ref().map(|r| &r.relays)
    }

    /// Time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
