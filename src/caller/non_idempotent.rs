//! Serves non-idempotent requests: a claim is committed before the request is dispatched.

use http_types::{Response, StatusCode};
use uuid::Uuid;

use crate::caller::arrival::{arrival_of, refusal_problem};
use crate::caller::attempt::{Attempt, FullResponse};
use crate::caller::attempt_start::{StartedResponse, start_attempt};
use crate::caller::relay::Relay;
use crate::caller::response::{build_response, event_id};
use crate::caller::{CallerRequest, RunId, Shared};
use crate::claim::{Claim, ClaimError, ClaimKey, ClaimOutcome, ClaimRequest, ClaimVerdict};
use crate::http::{Problem, RunState};
use crate::prelude::*;
use crate::scheduler::{AttemptOutcome, Effect};
use crate::shared_scheduler::RequestHandle;

/// Delay after which a caller may retry while its first request is in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves a request that runs at most once. It is completed even if the caller disconnects, so that
/// its claim gets an outcome.
pub(crate) async fn serve_non_idempotent(
    shared: &Arc<Shared>,
    request: Arc<CallerRequest>,
    key: Uuid,
) -> Result<Response, Problem> {
    let (tx, rx) = async_channel::bounded(1);
    let task = {
        let shared = shared.clone();
        async move {
            let res = claim_and_run(&shared, &request, key).await;
            let _ = tx.send(res).await;
        }
    };
    shared.executor.spawn(task).detach();
    rx.recv().await.unwrap_or_else(|_| Err(outcome_unknown()))
}

/// Claims the idempotency key, and dispatches the request if the claim is granted.
async fn claim_and_run(
    shared: &Arc<Shared>,
    request: &Arc<CallerRequest>,
    key: Uuid,
) -> Result<Response, Problem> {
    let req = ClaimRequest {
        key: ClaimKey {
            customer: request.customer.clone(),
            key,
        },
        digest: request.fingerprint.to_string().into(),
        retention: Duration::from_secs(request.policy.retention_s),
        total_timeout: request.policy.total(),
    };
    let verdict = {
        let _span = shared.spans.start(&request.trace, "claim");
        shared
            .claims
            .claim(req)
            .await
            .map_err(|err| claim_problem(&err))?
    };
    match verdict {
        ClaimVerdict::Granted(claim) => dispatch(shared, request, claim).await,
        ClaimVerdict::InProgress => Err(in_progress()),
        ClaimVerdict::Settled(outcome) => replay(outcome),
        ClaimVerdict::Mismatch => Err(Problem::not_run(
            StatusCode::UnprocessableEntity,
            "key-mismatch",
            "the idempotency key belongs to another request",
        )),
        ClaimVerdict::OutOfWindow => Err(Problem::not_run(
            StatusCode::BadRequest,
            "key-out-of-window",
            "the idempotency key's own time is too old or too far ahead",
        )),
    }
}

/// Dispatches a claimed request. Once a target may have received it, it is never sent again.
async fn dispatch(
    shared: &Arc<Shared>,
    request: &Arc<CallerRequest>,
    claim: Claim,
) -> Result<Response, Problem> {
    if request.time_left().is_zero() {
        release(shared, claim);
        return Err(deadline_passed());
    }
    let handle = shared.scheduler.submit_request(arrival_of(shared, request));
    let mut queue_span = Some(shared.spans.start(&request.trace, "queue"));
    loop {
        let attempt = match handle.next_effect().await {
            Effect::Refuse { refusal, .. } => {
                assert_eq!(
                    refusal.run(),
                    RunState::NotRun,
                    "the scheduler refused a request that a target may have run"
                );
                handle.finish();
                release(shared, claim);
                return Err(refusal_problem(&refusal));
            }
            Effect::Dispatch {
                attempt,
                target,
                address,
                weights,
                ..
            } => Attempt {
                number: attempt,
                target,
                address,
                weights,
                run: RunId::random(),
            },
            _ => continue,
        };
        queue_span.take();
        if !shared.claims.may_dispatch(&claim) {
            handle.report_end(attempt.number, AttemptOutcome::Cancelled);
            handle.finish();
            release(shared, claim);
            return Err(deadline_passed());
        }
        match start_attempt(shared, request, &attempt).await {
            Ok(started) => return Ok(respond(shared, request, claim, handle, &attempt, started)),
            Err(outcome @ (AttemptOutcome::NotSent | AttemptOutcome::Refused { .. })) => {
                handle.report_end(attempt.number, outcome);
            }
            Err(outcome) => {
                handle.report_end(attempt.number, outcome);
                handle.finish();
                settle(shared, claim, ClaimOutcome::Unknown);
                return Err(outcome_unknown());
            }
        }
    }
}

fn respond(
    shared: &Arc<Shared>,
    request: &Arc<CallerRequest>,
    claim: Claim,
    handle: RequestHandle,
    attempt: &Attempt,
    started: StartedResponse,
) -> Response {
    handle.report_first_token(attempt.number);
    match started {
        StartedResponse::Full(full) => {
            handle.report_end(attempt.number, AttemptOutcome::Done);
            handle.finish();
            settle(shared, claim, outcome_of(&full));
            build_response(full, attempt)
        }
        StartedResponse::Stream(stream) => Relay {
            id: event_id(shared, request, attempt),
            shared: shared.clone(),
            stream: *stream,
            trace: request.trace,
            handle: Some((handle, attempt.number)),
            claim: Some(claim),
        }
        .respond(),
    }
}

fn outcome_of(full: &FullResponse) -> ClaimOutcome {
    ClaimOutcome::Answered {
        status: full.status.into(),
        content_type: full.content_type.clone(),
        body: String::from_utf8(full.body.clone()).ok(),
    }
}

fn settle(shared: &Shared, claim: Claim, outcome: ClaimOutcome) {
    let settled = shared.claims.settle(claim, outcome);
    shared.executor.spawn(settled).detach();
}

fn release(shared: &Shared, claim: Claim) {
    let released = shared.claims.release(claim);
    shared.executor.spawn(released).detach();
}

/// Responds to a repeated request with the outcome of the first.
fn replay(outcome: ClaimOutcome) -> Result<Response, Problem> {
    match outcome {
        ClaimOutcome::Answered {
            status,
            content_type,
            body: Some(body),
        } => {
            let status = StatusCode::try_from(status).unwrap_or(StatusCode::Ok);
            let mut res = Response::new(status);
            res.set_body(body);
            res.insert_header("content-type", &*content_type);
            res.insert_header("guavahold-replayed", "true");
            Ok(res)
        }
        ClaimOutcome::Answered { .. } => {
            let detail = "the request was run before; its answer was not kept";
            let problem = Problem::not_run(StatusCode::Conflict, "already-ran", detail);
            Err(problem.with_run(RunState::Ran))
        }
        ClaimOutcome::Unknown => Err(outcome_unknown()),
    }
}

fn deadline_passed() -> Problem {
    let detail = "the policy's total deadline passed before the dispatch";
    Problem::not_run(StatusCode::GatewayTimeout, "deadline-passed", detail)
}

fn in_progress() -> Problem {
    let detail = "another attempt with this idempotency key is in progress";
    Problem::not_run(StatusCode::Conflict, "in-progress", detail)
        .with_run(RunState::Unknown)
        .with_retry_after(IN_PROGRESS_RETRY_AFTER)
}

fn outcome_unknown() -> Problem {
    let detail = "the target received the request and gave no whole answer; it is not sent again";
    Problem::not_run(StatusCode::BadGateway, "outcome-unknown", detail).with_run(RunState::Unknown)
}

fn claim_problem(err: &ClaimError) -> Problem {
    let (ClaimError::PlatformDown { retry_after } | ClaimError::Overloaded { retry_after }) = err;
    let detail = format!("this attempt was not run: {err}; repeat it with the same key");
    Problem::not_run(StatusCode::ServiceUnavailable, "claim-unavailable", detail)
        .with_retry_after(*retry_after)
}
