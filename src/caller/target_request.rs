//! Sends requests to targets and checks their responses.

use std::net::SocketAddr;

use http_types::{Method, Request, Url};

use crate::caller::attempt::{Attempt, FullResponse};
use crate::caller::{CallerRequest, RequestKind, Shared};
use crate::http::{ClientResponse, ExchangeError};
use crate::prelude::*;
use crate::scheduler::AttemptOutcome;
use crate::target::{REQUEST_ID_HEADER, RUN_STATE_HEADER, WEIGHTS_HEADER};

/// Longest accepted response without streaming, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Sends a request to a target, on a new connection if the request must not run twice and on a
/// pooled one otherwise. A pooled connection may already be closed by the target, which leaves it
/// unknown whether the request arrived.
pub(crate) async fn send(
    shared: &Shared,
    request: &CallerRequest,
    attempt: &Attempt,
    req: Request,
) -> Result<ClientResponse, AttemptOutcome> {
    let sent = if request.policy.idempotent {
        shared.pool.send(attempt.address, req).await
    } else {
        shared
            .pool
            .send_on_new_connection(attempt.address, req)
            .await
    };
    sent.map_err(|err| outcome_of(&err))
}

fn outcome_of(err: &ExchangeError) -> AttemptOutcome {
    if err.may_have_been_sent() {
        AttemptOutcome::Lost
    } else {
        AttemptOutcome::NotSent
    }
}

/// Reads a response without streaming to its end.
pub(crate) async fn read_response(
    response: &mut ClientResponse,
) -> Result<FullResponse, AttemptOutcome> {
    let body = response.bytes(MAX_RESPONSE_BYTES).await;
    Ok(FullResponse {
        status: response.res.status(),
        content_type: response
            .header("content-type")
            .unwrap_or("application/octet-stream")
            .into(),
        body: body.map_err(|_| AttemptOutcome::Lost)?,
    })
}

/// Checks that a response belongs to this attempt and may be passed to the caller.
pub(crate) fn check_response_head(
    response: &ClientResponse,
    request: &CallerRequest,
    attempt: &Attempt,
) -> Result<(), AttemptOutcome> {
    let chat = matches!(request.kind, RequestKind::Chat(_));
    let status = u16::from(response.res.status());
    let refused = response.header(RUN_STATE_HEADER) == Some("not-run") && status >= 400;
    match response.header(REQUEST_ID_HEADER) {
        Some(id) if id == attempt.run.as_str() => {}
        None if !chat || (refused && request.policy.idempotent) => {}
        _ => return Err(AttemptOutcome::Lost),
    }
    if refused {
        let seconds = response.header("retry-after").and_then(|v| v.parse().ok());
        let retry_after = seconds.map(Duration::from_secs);
        return Err(AttemptOutcome::Refused { retry_after });
    }
    if status >= 500 && request.policy.idempotent {
        return Err(AttemptOutcome::Lost);
    }
    let matches_weights = response.header(WEIGHTS_HEADER) == Some(&*attempt.weights);
    if chat && (200..300).contains(&status) && !matches_weights {
        return Err(AttemptOutcome::WrongWeights);
    }
    Ok(())
}

/// Makes a request to a target; `None` if the path is not valid in a URL.
pub(crate) fn target_request(method: Method, address: SocketAddr, path: &str) -> Option<Request> {
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    Some(Request::new(method, url))
}
