//! Serves idempotent requests: attempts, hedges and retries as the desk decides.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::Poll;

use futures_lite::FutureExt;
use http_types::{Response, StatusCode};

use crate::caller::answer::{event_id, whole_response};
use crate::caller::arrival::{arrival_of, refusal_problem};
use crate::caller::attempt::Attempt;
use crate::caller::relay::Relay;
use crate::caller::start::{Started, start};
use crate::caller::{RunId, Shared, Work};
use crate::clock::{CoarseSleep, coarse_sleep};
use crate::http::{Problem, RunState};
use crate::prelude::*;
use crate::scheduler::{AttemptOutcome, Effect};
use crate::shared_scheduler::RequestHandle;

type AttemptEnd = (Attempt, Result<Started, AttemptOutcome>);

/// An attempt under way; dropping it cancels it.
type Under = Pin<Box<dyn Future<Output = AttemptEnd> + Send>>;

/// Attempts of one request that are under way.
struct Attempts {
    shared: Arc<Shared>,
    work: Arc<Work>,
    running: SmallVec<[(u32, Under); 2]>,
    handed_over: bool,
}

/// What happens next to a request.
enum Next {
    Effect(Effect),
    Ended(AttemptEnd),
    Late,
}

/// Serves a request that may run more than once.
pub(crate) async fn serve(shared: &Arc<Shared>, work: Arc<Work>) -> Result<Response, Problem> {
    let waiter = shared.scheduler.submit_request(arrival_of(shared, &work));
    let mut queued = Some(shared.spans.start(&work.trace, "queue"));
    let mut attempts = Attempts::new(shared, &work);
    let mut late = pin!(coarse_sleep(work.time_left()));
    loop {
        match attempts.next(&waiter, late.as_mut()).await {
            Next::Effect(Effect::Refuse { refusal, .. }) => {
                waiter.finish();
                if refusal.run() != RunState::NotRun {
                    shared.quarantine_notices.wait_acknowledged().await;
                }
                return Err(refusal_problem(&refusal));
            }
            Next::Effect(Effect::Cancel { attempt, .. }) => attempts.cancel(&waiter, attempt),
            Next::Effect(effect) => {
                queued.take();
                attempts.dispatch(effect);
            }
            Next::Ended((attempt, Ok(started))) => {
                return Ok(attempts.answer(waiter, &attempt, started));
            }
            Next::Ended((attempt, Err(outcome))) => attempts.failed(&waiter, &attempt, outcome),
            Next::Late => return Err(attempts.late()),
        }
    }
}

impl Attempts {
    fn new(shared: &Arc<Shared>, work: &Arc<Work>) -> Self {
        Self {
            shared: shared.clone(),
            work: work.clone(),
            running: SmallVec::new(),
            handed_over: false,
        }
    }

    async fn next(&mut self, waiter: &RequestHandle, late: Pin<&mut CoarseSleep>) -> Next {
        let effect = async { Next::Effect(waiter.next_effect().await) };
        let late = async {
            late.await;
            Next::Late
        };
        let running = &mut self.running;
        let ended = poll_fn(|cx| {
            for (_, attempt) in running.iter_mut() {
                if let Poll::Ready(end) = attempt.as_mut().poll(cx) {
                    return Poll::Ready(Next::Ended(end));
                }
            }
            Poll::Pending
        });
        effect.or(ended).or(late).await
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
        let (shared, work) = (self.shared.clone(), self.work.clone());
        let under = async move {
            let started = start(&shared, &work, &attempt).await;
            (attempt, started)
        };
        self.running.push((number, Box::pin(under)));
        self.handed_over = true;
    }

    fn cancel(&mut self, waiter: &RequestHandle, attempt: u32) {
        let before = self.running.len();
        self.running.retain(|(number, _)| *number != attempt);
        if self.running.len() < before {
            waiter.report_end(attempt, AttemptOutcome::Cancelled);
        }
    }

    fn failed(&mut self, waiter: &RequestHandle, attempt: &Attempt, outcome: AttemptOutcome) {
        let before = self.running.len();
        self.running.retain(|(number, _)| *number != attempt.number);
        if self.running.len() < before {
            waiter.report_end(attempt.number, outcome);
        }
    }

    fn answer(mut self, waiter: RequestHandle, attempt: &Attempt, started: Started) -> Response {
        waiter.report_first_token(attempt.number);
        let took = self.work.arrived.elapsed();
        self.shared
            .metrics
            .first_token_seconds
            .observe(took.as_secs_f64());
        let losers: SmallVec<[u32; 2]> = self.running.iter().map(|(n, _)| *n).collect();
        for loser in losers.into_iter().filter(|n| *n != attempt.number) {
            self.cancel(&waiter, loser);
        }
        match started {
            Started::Whole(whole) => {
                waiter.report_end(attempt.number, AttemptOutcome::Done);
                waiter.finish();
                whole_response(whole, attempt)
            }
            Started::Stream(stream) => Relay {
                id: event_id(&self.shared, &self.work, attempt),
                shared: self.shared,
                stream: *stream,
                trace: self.work.trace,
                waiter: Some((waiter, attempt.number)),
                claim: None,
            }
            .respond(),
        }
    }

    fn late(&self) -> Problem {
        let run = if self.handed_over {
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
