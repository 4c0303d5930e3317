//! Serves idempotent requests with the attempts, hedges and retries that the scheduler decides on.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::Poll;

use futures_lite::FutureExt;
use http_types::{Response, StatusCode};

use crate::caller::arrival::{arrival_of, refusal_problem};
use crate::caller::attempt::Attempt;
use crate::caller::attempt_start::{StartedResponse, start_attempt};
use crate::caller::relay::Relay;
use crate::caller::response::{build_response, event_id};
use crate::caller::{CallerRequest, RunId, Shared};
use crate::clock::{CoarseSleep, coarse_sleep};
use crate::http::{Problem, RunState};
use crate::prelude::*;
use crate::scheduler::{AttemptOutcome, Effect};
use crate::shared_scheduler::RequestHandle;

type AttemptResult = (Attempt, Result<StartedResponse, AttemptOutcome>);

/// A running attempt; dropping it cancels it.
type RunningAttempt = Pin<Box<dyn Future<Output = AttemptResult> + Send>>;

/// Running attempts of one request.
struct Attempts {
    shared: Arc<Shared>,
    request: Arc<CallerRequest>,
    running: SmallVec<[(u32, RunningAttempt); 2]>,
    /// Whether any attempt was dispatched, so that a target may have run the request.
    dispatched: bool,
}

/// What a request waits for: an effect of the scheduler, the end of an attempt, or its deadline.
enum NextStep {
    Effect(Effect),
    Ended(AttemptResult),
    DeadlinePassed,
}

/// Serves a request that may run more than once.
pub(crate) async fn serve_idempotent(
    shared: &Arc<Shared>,
    request: Arc<CallerRequest>,
) -> Result<Response, Problem> {
    let handle = shared
        .scheduler
        .submit_request(arrival_of(shared, &request));
    let mut queue_span = Some(shared.spans.start(&request.trace, "queue"));
    let mut attempts = Attempts::new(shared, &request);
    let mut deadline = pin!(coarse_sleep(request.time_left()));
    loop {
        match attempts.next_step(&handle, deadline.as_mut()).await {
            NextStep::Effect(Effect::Refuse { refusal, .. }) => {
                handle.finish();
                // Targets may have failed on this request: peers learn of its quarantine before
                // its caller can retry at one of them.
                if refusal.run() != RunState::NotRun {
                    shared.quarantine_notices.wait_acknowledged().await;
                }
                return Err(refusal_problem(&refusal));
            }
            NextStep::Effect(Effect::Cancel { attempt, .. }) => attempts.cancel(&handle, attempt),
            NextStep::Effect(effect) => {
                queue_span.take();
                attempts.dispatch(effect);
            }
            NextStep::Ended((attempt, Ok(started))) => {
                return Ok(attempts.into_response(handle, &attempt, started));
            }
            NextStep::Ended((attempt, Err(outcome))) => attempts.fail(&handle, &attempt, outcome),
            NextStep::DeadlinePassed => return Err(attempts.deadline_passed()),
        }
    }
}

impl Attempts {
    fn new(shared: &Arc<Shared>, request: &Arc<CallerRequest>) -> Self {
        Self {
            shared: shared.clone(),
            request: request.clone(),
            running: SmallVec::new(),
            dispatched: false,
        }
    }

    async fn next_step(
        &mut self,
        handle: &RequestHandle,
        deadline: Pin<&mut CoarseSleep>,
    ) -> NextStep {
        let effect = async { NextStep::Effect(handle.next_effect().await) };
        let deadline = async {
            deadline.await;
            NextStep::DeadlinePassed
        };
        let running = &mut self.running;
        let ended = poll_fn(|cx| {
            for (_, attempt) in running.iter_mut() {
                if let Poll::Ready(end) = attempt.as_mut().poll(cx) {
                    return Poll::Ready(NextStep::Ended(end));
                }
            }
            Poll::Pending
        });
        effect.or(ended).or(deadline).await
    }

    fn dispatch(&mut self, effect: Effect) {
        let Effect::Dispatch {
            attempt: number,
            target,
            address,
            weights,
            ..
        } = effect
        else {
            return;
        };
        let attempt = Attempt {
            number,
            target,
            address,
            weights,
            run: RunId::random(),
        };
        let (shared, request) = (self.shared.clone(), self.request.clone());
        let running_attempt = async move {
            let started = start_attempt(&shared, &request, &attempt).await;
            (attempt, started)
        };
        self.running.push((number, Box::pin(running_attempt)));
        self.dispatched = true;
    }

    fn cancel(&mut self, handle: &RequestHandle, attempt: u32) {
        let before = self.running.len();
        self.running.retain(|(number, _)| *number != attempt);
        if self.running.len() < before {
            handle.report_end(attempt, AttemptOutcome::Cancelled);
        }
    }

    fn fail(&mut self, handle: &RequestHandle, attempt: &Attempt, outcome: AttemptOutcome) {
        let before = self.running.len();
        self.running.retain(|(number, _)| *number != attempt.number);
        if self.running.len() < before {
            handle.report_end(attempt.number, outcome);
        }
    }

    fn into_response(
        mut self,
        handle: RequestHandle,
        attempt: &Attempt,
        started: StartedResponse,
    ) -> Response {
        handle.report_first_token(attempt.number);
        let elapsed = self.request.arrived.elapsed();
        self.shared
            .metrics
            .first_token_seconds
            .observe(elapsed.as_secs_f64());
        let numbers: SmallVec<[u32; 2]> = self.running.iter().map(|(n, _)| *n).collect();
        for number in numbers.into_iter().filter(|n| *n != attempt.number) {
            self.cancel(&handle, number);
        }
        match started {
            StartedResponse::Full(full) => {
                handle.report_end(attempt.number, AttemptOutcome::Done);
                handle.finish();
                build_response(full, attempt)
            }
            StartedResponse::Stream(stream) => Relay {
                id: event_id(&self.shared, &self.request, attempt),
                shared: self.shared,
                stream: *stream,
                trace: self.request.trace,
                handle: Some((handle, attempt.number)),
                claim: None,
            }
            .respond(),
        }
    }

    fn deadline_passed(&self) -> Problem {
        let run = if self.dispatched {
            RunState::Unknown
        } else {
            RunState::NotRun
        };
        let detail = "the policy's total deadline passed";
        Problem::not_run(StatusCode::GatewayTimeout, "deadline-passed", detail)
            .with_run(run)
            .with_retry_after(Duration::from_secs(1))
    }
}
