//! Detects lost connections of requests without streaming: checks on new connections whether the
//! response can still arrive on the first one.

use futures_lite::FutureExt;
use http_types::Method;

use crate::caller::attempt::Attempt;
use crate::caller::engine_stream::{EngineStream, StreamError};
use crate::caller::target_request::target_request;
use crate::caller::{CallerRequest, RequestKind, Shared};
use crate::clock::coarse_sleep;
use crate::http::{Connection, ExchangeError};
use crate::prelude::*;

/// Time without a response after which the target is checked on a new connection.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which the response must arrive after its run ended.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Failed queries in a row after which a target counts as dead.
const MAX_FAILED_QUERIES: u32 = 2;

/// Completes when the response can no longer arrive on the attempt's own connection.
///
/// Never completes for requests that must not run twice.
pub(crate) async fn wait_for_lost_connection(
    shared: &Arc<Shared>,
    request: &CallerRequest,
    attempt: &Attempt,
) {
    if !request.policy.idempotent {
        return std::future::pending().await;
    }
    coarse_sleep(SILENCE_TIMEOUT).await;
    match request.kind {
        RequestKind::Chat(_) => wait_for_run_end(shared, attempt).await,
        RequestKind::Service { .. } => wait_for_dead_target(attempt).await,
    }
    shared.pool.clear(attempt.address);
}

/// Attaches to the run on another connection; returns when the run is gone or its target is
/// unreachable, or when the run has ended and its response had time to arrive.
async fn wait_for_run_end(shared: &Arc<Shared>, attempt: &Attempt) {
    loop {
        // No run has this many events, so the connection carries only the end of the run.
        match EngineStream::attach(shared, attempt, u64::from(u32::MAX)).await {
            Ok(mut stream) => {
                if stream.wait_for_end().await {
                    coarse_sleep(DELIVERY_TIMEOUT).await;
                    return;
                }
                coarse_sleep(DELIVERY_TIMEOUT).await;
            }
            Err(StreamError::Gone | StreamError::Unreachable | StreamError::Stalled) => return,
        }
    }
}

/// Queries the load of a plain service on new connections until [`MAX_FAILED_QUERIES`] in a row get
/// no response.
async fn wait_for_dead_target(attempt: &Attempt) {
    let mut failures = 0;
    while failures < MAX_FAILED_QUERIES {
        coarse_sleep(SILENCE_TIMEOUT / 2).await;
        let responded = async { query_load(attempt).await.is_ok() };
        let timed_out = async {
            coarse_sleep(SILENCE_TIMEOUT / 2).await;
            false
        };
        failures = if responded.or(timed_out).await {
            0
        } else {
            failures + 1
        };
    }
}

async fn query_load(attempt: &Attempt) -> Result<(), ExchangeError> {
    let conn = Connection::open(attempt.address, SILENCE_TIMEOUT / 2).await?;
    match target_request(Method::Get, attempt.address, "/load") {
        Some(req) => conn.send(req).await.map(drop),
        None => Ok(()),
    }
}
