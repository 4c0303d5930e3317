//! Converts a caller's request to the scheduler's form, and the scheduler's refusal to a response.

use http_types::StatusCode;

use crate::caller::{CallerRequest, RequestKind, Shared};
use crate::http::Problem;
use crate::prefix_keys::{PrefixKeys, estimate_tokens};
use crate::prelude::*;
use crate::scheduler::{Arrival, Refusal};

/// Bytes at the start of the prompt that placement hashes: the text of one block.
const AFFINITY_BYTES: usize = 4096;

/// Describes a request to the scheduler.
pub(crate) fn arrival_of(shared: &Shared, request: &CallerRequest) -> Arrival {
    let (prompt, weights): (&[u8], _) = match &request.kind {
        RequestKind::Chat(chat) => (&chat.prompt, candidate_weights(shared, &chat.model)),
        RequestKind::Service { body, .. } => (body, SmallVec::new()),
    };
    let start = &prompt[..prompt.len().min(AFFINITY_BYTES)];
    let affinity =
        PrefixKeys::derive(&shared.secret, &request.customer, "", "", start).affinity_key();
    Arrival {
        id: shared.scheduler.next_id(),
        customer: request.customer.clone(),
        serves: request.serves.clone(),
        weights,
        policy: request.policy.clone(),
        fingerprint: request.fingerprint,
        affinity,
        prompt_tokens: estimate_tokens(prompt.len()),
        shared_tokens: 0,
        stored_tokens: SmallVec::new(),
        store_domain: None,
        output_tokens: 0,
        max_attempts: 0,
        resumable: false,
        software: None,
        objective: Duration::ZERO,
        allowed: None,
    }
}

/// Weight versions that may serve a new request, preferred first: the declared one, then all others
/// that some target has ready, so that requests are served before any target has the declared one.
fn candidate_weights(shared: &Shared, model: &str) -> SmallVec<[Name; 2]> {
    let catalog_index = shared.catalog_index.load();
    let mut out: SmallVec<[Name; 2]> = SmallVec::new();
    if let Some(model) = catalog_index.catalog.declarations.models.get(model) {
        out.push(model.weights.clone());
    }
    for weights in shared.targets.load().ready(model) {
        if !out.contains(weights) {
            out.push(weights.clone());
        }
    }
    out
}

/// Converts a refusal of the scheduler to the problem that the caller receives.
pub(crate) fn refusal_problem(refusal: &Refusal) -> Problem {
    let (status, detail) = match refusal {
        Refusal::Overloaded { .. } => (StatusCode::TooManyRequests, "too many requests wait"),
        Refusal::DeadlineUnreachable { .. } => {
            (StatusCode::ServiceUnavailable, "the deadline cannot be met")
        }
        Refusal::NoTarget { .. } | Refusal::Evacuated { .. } => {
            (StatusCode::ServiceUnavailable, "no target is in service")
        }
        Refusal::Quarantined { .. } => (
            StatusCode::UnprocessableEntity,
            "targets failed while they ran this request; it is not tried again for now",
        ),
        Refusal::Failed { .. } => (StatusCode::BadGateway, "targets failed"),
        Refusal::Draining { .. } => (StatusCode::ServiceUnavailable, "this entry is leaving"),
    };
    Problem::not_run(status, refusal.code(), detail)
        .with_run(refusal.run())
        .with_retry_after(refusal.retry_after())
}
