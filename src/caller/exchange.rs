//! Requests to targets and the checks of their answers.

use std::net::SocketAddr;

use http_types::{Method, Request, Url};

use crate::caller::attempt::{Attempt, WholeAnswer};
use crate::caller::{Shared, Work, WorkKind};
use crate::http::{ClientResponse, ExchangeError};
use crate::prelude::*;
use crate::scheduler::AttemptOutcome;
use crate::target::{REQUEST_ID_HEADER, RUN_STATE_HEADER, WEIGHTS_HEADER};

/// Longest accepted plain answer, in bytes.
pub(crate) const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// Sends on a new connection when the request must not be repeated, else on a pooled one.
pub(crate) async fn send(
    shared: &Shared,
    work: &Work,
    attempt: &Attempt,
    req: Request,
) -> Result<ClientResponse, AttemptOutcome> {
    let sent = if work.policy.idempotent {
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

/// Reads a plain answer to its clean end.
pub(crate) async fn read_whole(answer: &mut ClientResponse) -> Result<WholeAnswer, AttemptOutcome> {
    let body = answer.bytes(MAX_ANSWER).await;
    Ok(WholeAnswer {
        status: answer.res.status(),
        content_type: answer
            .header("content-type")
            .unwrap_or("application/octet-stream")
            .into(),
        body: body.map_err(|_| AttemptOutcome::Lost)?,
    })
}

/// Checks that an answer belongs to this attempt and may be relayed.
pub(crate) fn check_head(
    answer: &ClientResponse,
    work: &Work,
    attempt: &Attempt,
) -> Result<(), AttemptOutcome> {
    let chat = matches!(work.kind, WorkKind::Chat(_));
    let status = u16::from(answer.res.status());
    let refused = answer.header(RUN_STATE_HEADER) == Some("not-run") && status >= 400;
    match answer.header(REQUEST_ID_HEADER) {
        Some(id) if id == attempt.run.as_str() => {}
        None if !chat || (refused && work.policy.idempotent) => {}
        _ => return Err(AttemptOutcome::Lost),
    }
    if refused {
        let seconds = answer.header("retry-after").and_then(|v| v.parse().ok());
        let retry_after = seconds.map(Duration::from_secs);
        return Err(AttemptOutcome::Refused { retry_after });
    }
    if status >= 500 && work.policy.idempotent {
        return Err(AttemptOutcome::Lost);
    }
    let fits = answer.header(WEIGHTS_HEADER) == Some(&*attempt.weights);
    if chat && (200..300).contains(&status) && !fits {
        return Err(AttemptOutcome::WrongWeights);
    }
    Ok(())
}

/// Makes a request to a target; an invalid path becomes the root.
pub(crate) fn request(method: Method, address: SocketAddr, path: &str) -> Request {
    let url = Url::parse(&format!("http://{address}{path}"));
    let url = url.or_else(|_| Url::parse(&format!("http://{address}/")));
    Request::new(
        method,
        url.unwrap_or_else(|_| unreachable!("an address makes a URL")),
    )
}
