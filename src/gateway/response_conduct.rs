//! How the targets of each service tell which request a response belongs to.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::prelude::*;

/// Number of responses in a row with the ID of their request after which refusals are expected to bear
/// it as well.
const MIN_NAMED_RESPONSES: u32 = 64;
/// Time for which a response that cannot be assigned to a request is remembered.
const UNASSIGNED_TIME: Duration = Duration::from_mins(1);

/// What was seen of the responses of one service's targets.
#[derive(Clone, Copy, Debug, Default)]
struct Conduct {
    /// Number of responses in a row that bore the ID of their request.
    named_responses: u32,
    /// Whether responses came without an ID, and no refusal with one since.
    omits_ids: bool,
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
    /// Records a response that bore the ID of its request.
    pub fn record_named(&self, service: &Name) {
        let mut services = self.lock();
        let conduct = services.entry(service.clone()).or_default();
        conduct.named_responses = conduct.named_responses.saturating_add(1);
    }

    /// Records a refusal that bore the ID of its request.
    pub fn record_named_refusal(&self, service: &Name) {
        let mut services = self.lock();
        let conduct = services.entry(service.clone()).or_default();
        conduct.named_responses = conduct.named_responses.max(MIN_NAMED_RESPONSES);
        conduct.omits_ids = false;
    }

    /// Records a response to another request, or bytes that are no response.
    pub fn record_unassigned(&self, now: Timestamp, service: &Name) {
        let mut services = self.lock();
        let conduct = services.entry(service.clone()).or_default();
        conduct.named_responses = 0;
        conduct.unassigned_at = Some(now);
    }

    /// Records a response without an ID.
    pub fn record_unnamed(&self, now: Timestamp, service: &Name) {
        self.record_unassigned(now, service);
        let mut services = self.lock();
        services.entry(service.clone()).or_default().omits_ids = true;
    }

    /// Whether a request that must not run twice may be sent on a connection that carried others.
    #[must_use]
    pub fn permits_kept(&self, now: Timestamp, service: &str) -> bool {
        self.lock().get(service).is_some_and(|conduct| {
            let recent = |at: Timestamp| now.saturating_sub(at) < UNASSIGNED_TIME;
            !conduct.omits_ids
                && conduct.named_responses >= MIN_NAMED_RESPONSES
                && !conduct.unassigned_at.is_some_and(recent)
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Conduct>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
