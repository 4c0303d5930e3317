//! How the targets of each service tell which request a response belongs to.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::prelude::*;

/// Time for which a response that cannot be assigned to a request is remembered.
const UNASSIGNED_TIME: Duration = Duration::from_mins(1);

/// What was seen of the responses of one service's targets.
#[derive(Clone, Copy, Debug, Default)]
struct Conduct {
    /// Whether a refusal bore the ID of its request.
    names_refusals: bool,
    /// When a response last arrived that cannot be assigned to a request.
    unassigned_at: Option<Timestamp>,
}

/// How the targets of each service tell which request a response belongs to.
///
/// On a connection that carried other requests, a refusal without an ID proves nothing, and a request
/// that must not run twice can neither be sent again nor be refused: it waits for its deadline.
#[derive(Debug, Default)]
pub struct ResponseConduct {
    services: Mutex<HashMap<Name, Conduct>>,
}

impl ResponseConduct {
    /// Records that a refusal bore the ID of its request.
    pub fn record_named_refusal(&self, service: &Name) {
        let mut services = self.lock();
        services.entry(service.clone()).or_default().names_refusals = true;
    }

    /// Records a response, or bytes, that cannot be assigned to a request.
    pub fn record_unassigned(&self, now: Timestamp, service: &Name) {
        let mut services = self.lock();
        services.entry(service.clone()).or_default().unassigned_at = Some(now);
    }

    /// Whether a request that must not run twice may be sent on a connection that carried others.
    #[must_use]
    pub fn permits_kept(&self, now: Timestamp, service: &str) -> bool {
        self.lock().get(service).is_some_and(|conduct| {
            let recent = |at: Timestamp| now.saturating_sub(at) < UNASSIGNED_TIME;
            conduct.names_refusals && !conduct.unassigned_at.is_some_and(recent)
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Conduct>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
