//! Head of the request to a target, with the transfers from and to context stores.

use std::net::SocketAddr;

use crate::clock::time_since_boot;
use crate::context_store::{FETCH_TIMEOUT, TransferPlan};
use crate::gateway::Dispatch;
use crate::gateway::attempt::Attempt;
use crate::gateway::attempt_error::AttemptError;
use crate::gateway::caller_response::CallerResponse;
use crate::http::HeaderText;
use crate::prelude::*;

impl Attempt<'_> {
    /// Encodes the head of the request to the target.
    ///
    /// # Errors
    /// When a name cannot be sent in a header field.
    pub(super) fn encode(&self, response: &CallerResponse<'_>) -> Result<Vec<u8>, AttemptError> {
        let request = self.request;
        let holder = request.holder.as_deref();
        let scopes = self.shared.cache_scopes();
        let scope = self.assignment.weights.map(|w| scopes.scope(holder, w));
        // The deadline comes first: if the process stands still after it, fetches end no later.
        let fetch_until_ms = self.fetch_deadline();
        let transfers = scope.as_ref().map(|scope| self.plan_transfers(scope));
        let customer = request.holder.as_ref().map(|h| h.customer.clone());
        let dispatch = Dispatch {
            transfers: transfers.unwrap_or_default(),
            fetch_until_ms,
            target: header_text(self.assignment.target.clone())?,
            time_left: request.time_left(),
            customer: customer.map(header_text).transpose()?,
            weights: self.assignment.weights,
            cache_scope: scope.map(header_text).transpose()?,
            urgency: self.urgency(),
            last_event: response.last_event,
            body_bytes: request.body.as_ref().map(Vec::len),
        };
        let mut head = Vec::with_capacity(1024);
        let dialect = &self.shared.dialect;
        dialect.encode_request(&request.head, &dispatch, &mut head);
        Ok(head)
    }

    /// Plans the transfers of the prompt's shared parts from and to context stores.
    fn plan_transfers(&self, scope: &Name) -> TransferPlan {
        let Some(prompt) = &self.request.head.prompt else {
            return TransferPlan::default();
        };
        let shared = prompt.shared_parts().iter();
        let parts: SmallVec<[_; 4]> = shared.map(|p| (p.id.clone(), p.tokens)).collect();
        let allowed = self.request.allowed_targets();
        let mut plan =
            self.shared
                .store_directory()
                .plan_transfers(self.shared.now(), scope, &parts, allowed);
        // A hub of an earlier build does not know the restriction.
        let scheduler = &self.shared.scheduler;
        let may_fetch =
            |address: &SocketAddr| allowed.is_none_or(|a| scheduler.is_allowed_at(*address, a));
        let neighbour = self.assignment.neighbour.filter(may_fetch);
        // The neighbour caches context under the scope of its weights and drops it when they
        // change, so a fetch from it never gets context of another version.
        for fetch in &mut plan.fetch {
            *fetch = fetch.or(neighbour);
        }
        // Without a reading of the targets' clock, fetches would have no deadline.
        if self.fetch_deadline().is_none() {
            plan.fetch.clear();
        }
        let count = |stores: &[Option<SocketAddr>]| stores.iter().flatten().count();
        self.progress
            .record_transfers(count(&plan.fetch), count(&plan.save));
        plan
    }

    /// Deadline of fetches that begin now, by the targets' clock.
    fn fetch_deadline(&self) -> Option<u64> {
        let clock = &self.shared.fetch_clock;
        clock.after(time_since_boot(), FETCH_TIMEOUT)
    }

    fn urgency(&self) -> Option<u8> {
        self.request.head.prompt.as_ref()?;
        let own = self.request.holder.as_ref().and_then(|h| h.urgency);
        Some(own.unwrap_or(self.request.route.urgency))
    }
}

fn header_text(name: Name) -> Result<HeaderText, AttemptError> {
    HeaderText::new(name).map_err(AttemptError::Unnameable)
}
