//! Responses to callers.

use http_types::Response;

use crate::caller::attempt::{Attempt, FullResponse};
use crate::caller::{CallerRequest, EventId, Shared};
use crate::target::{REQUEST_ID_HEADER, WEIGHTS_HEADER};

/// Id of event number zero of an attempt's run.
pub(crate) fn event_id(shared: &Shared, request: &CallerRequest, attempt: &Attempt) -> EventId {
    EventId::new(
        &shared.secret,
        &request.customer,
        &request.fingerprint,
        &attempt.run,
        &attempt.target,
        &attempt.weights,
    )
}

/// Builds the caller's response from a target's full response.
pub(crate) fn build_response(full: FullResponse, attempt: &Attempt) -> Response {
    let mut res = Response::new(full.status);
    res.set_body(full.body);
    res.insert_header("content-type", &*full.content_type);
    res.insert_header(REQUEST_ID_HEADER, attempt.run.as_str());
    if !attempt.weights.is_empty() {
        res.insert_header(WEIGHTS_HEADER, &*attempt.weights);
    }
    res
}
