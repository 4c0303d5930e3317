//! Runs the attempts of one request, until its final outcome.

use std::time::Instant;

use futures_lite::FutureExt;

use crate::clock::coarse_sleep;
use crate::domain_scheduler::ScheduledRequest;
use crate::gateway::admitted_request::AdmittedRequest;
use crate::gateway::arrival::version_of;
use crate::gateway::attempt::{Assignment, Attempt, AttemptProgress};
use crate::gateway::attempt_error::{AttemptError, TargetResponse};
use crate::gateway::caller_response::CallerResponse;
use crate::gateway::outcome::Outcome;
use crate::gateway::refusal::unknown_fate;
use crate::gateway::request_log::{AttemptRecord, RequestLog};
use crate::gateway::request_reader::RequestReader;
use crate::gateway::response_head::ResponseHead;
use crate::gateway::shared::{Shared, TargetObservation};
use crate::gateway::{Ending, EndingOutcome, ResponseState, RunRecord, RunReport};
use crate::http::RunState;
use crate::name_hash::hash_label;
use crate::part_quarantine::Permission;
use crate::prelude::*;
use crate::scheduler::{AttemptOutcome, Effect, Event, Refusal, Signal};
use crate::telemetry::LogValue;

/// Label for the log of an attempt whose target refuses without stating that the request has not run.
const UNPROVEN_REFUSAL: &str = "unproven (a refusal that does not state that it has not run)";

/// Why a running attempt is stopped.
enum Interruption {
    DeadlinePassed,
    CallerLeft,
    /// The scheduler needs it no longer.
    Cancelled,
}

impl Interruption {
    /// Label for the log.
    fn label(&self) -> &'static str {
        match self {
            Self::DeadlinePassed => "late",
            Self::CallerLeft => "caller-left",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Processing of a request between its admission and its final response.
pub(crate) struct RequestDriver<'a> {
    /// State shared by the tasks of the gateway.
    pub shared: &'a Arc<Shared>,
    /// The request.
    pub request: &'a AdmittedRequest,
    /// Its handle at the scheduler.
    pub handle: ScheduledRequest,
    /// Error response of a target, relayed if no later attempt succeeds.
    pub target_error: Option<(ResponseHead, Vec<u8>)>,
    /// Whether any target may run or have run the request.
    pub run_record: RunRecord,
    /// Its attempts, for the log.
    pub request_log: RequestLog,
}

/// Next event that a request waits for.
enum NextEvent {
    Effect(Effect),
    /// A part of its prompt is held back; its caller may come back after this time.
    Held(Duration),
    DeadlinePassed,
    CallerLeft,
}

impl RequestDriver<'_> {
    /// Runs the attempts that the scheduler dispatches, until a final outcome.
    pub(crate) async fn run(
        &mut self,
        response: &mut CallerResponse<'_>,
        reader: &mut RequestReader,
    ) -> Outcome {
        loop {
            let next = {
                let effect = async { NextEvent::Effect(self.handle.next_effect().await) };
                let caller_left = async {
                    reader.caller_closed().await;
                    NextEvent::CallerLeft
                };
                effect
                    .or(self.deadline())
                    .or(caller_left)
                    .or(self.until_held())
                    .await
            };
            match next {
                NextEvent::Effect(Effect::Dispatch {
                    attempt,
                    target,
                    address,
                    weights,
                    neighbour,
                    within_limit,
                    within_warm_up,
                    software,
                    estimate,
                    ..
                }) => {
                    let assignment = Assignment {
                        neighbour,
                        within_limit,
                        within_warm_up,
                        software,
                        estimate,
                        number: attempt,
                        weights: version_of(&weights),
                        target,
                        address,
                    };
                    if let Some(outcome) = self.attempt(&assignment, response, reader).await {
                        return outcome;
                    }
                }
                NextEvent::Effect(Effect::Refuse { refusal, .. }) => {
                    return self.on_refusal(&refusal, response);
                }
                NextEvent::Effect(_) => {}
                NextEvent::Held(retry_after) => return self.held_outcome(retry_after, response),
                NextEvent::DeadlinePassed => return self.deadline_outcome(response),
                NextEvent::CallerLeft => return Outcome::CallerLeft,
            }
        }
    }

    async fn until_held(&self) -> NextEvent {
        let quarantine = &self.shared.prompt_quarantine;
        NextEvent::Held(quarantine.until_held(self.request).await)
    }

    fn held_outcome(&mut self, retry_after: Duration, response: &CallerResponse<'_>) -> Outcome {
        let run = RunState::NotRun;
        self.on_refusal(&Refusal::Quarantined { retry_after, run }, response)
    }

    async fn deadline(&self) -> NextEvent {
        coarse_sleep(self.request.time_left()).await;
        NextEvent::DeadlinePassed
    }

    fn deadline_outcome(&mut self, response: &CallerResponse<'_>) -> Outcome {
        self.outcome(&Ending::DeadlinePassed, response)
    }

    /// Ends a request that was dispatched again although it must not run twice: a fault of the
    /// schedulers.
    fn withhold_attempt(
        &mut self,
        assignment: &Assignment,
        response: &CallerResponse<'_>,
    ) -> Outcome {
        self.shared.metrics.invariants.inc();
        log::error!(
            "event=repeated_run_withheld request={} number={} target={}",
            LogValue(&self.request.head.id),
            assignment.number,
            LogValue(&assignment.target)
        );
        let refusal = Refusal::Failed {
            run: RunState::Unknown,
            retry_after: Duration::ZERO,
        };
        self.outcome(&Ending::Refused(&refusal), response)
    }

    /// Runs one attempt; `None` when the scheduler decides how the request continues.
    async fn attempt(
        &mut self,
        assignment: &Assignment,
        response: &mut CallerResponse<'_>,
        reader: &mut RequestReader,
    ) -> Option<Outcome> {
        let repeatable = self.request.route.is_repeatable();
        if !self.run_record.permits_attempt(repeatable) {
            return Some(self.withhold_attempt(assignment, response));
        }
        let quarantine = &self.shared.prompt_quarantine;
        let permission = quarantine.begin_attempt(self.request);
        if let Permission::Held(retry_after) = permission {
            return Some(self.held_outcome(retry_after, response));
        }
        let record_before = self.run_record.begin_attempt();
        let started = Instant::now();
        let progress = AttemptProgress::default();
        let result = {
            let attempt = Attempt {
                progress: &progress,
                shared: self.shared,
                request: self.request,
                assignment,
                handle: &self.handle,
            };
            let run = async { Ok(attempt.run(response).await) };
            run.or(self.interruption(reader, &progress)).await
        };
        let broken_off = matches!(&result, Ok(Err(error)) if error.outcome().is_broken_off());
        // A trial whose connection broke has its result once the target's state is known.
        if permission == Permission::Trial && !broken_off {
            quarantine.end_trial(self.request);
        }
        let label = match &result {
            Ok(Ok(TargetResponse::UnprovenRefusal)) => Some(UNPROVEN_REFUSAL.to_owned()),
            Ok(Ok(_)) => None,
            Ok(Err(error)) => Some(error.to_string()),
            Err(interruption) => Some(interruption.label().to_owned()),
        };
        self.record_attempt(assignment, started, &progress, label);
        match result {
            Ok(Ok(received)) => self.on_response(assignment, received),
            Ok(Err(AttemptError::CallerLeft)) | Err(Interruption::CallerLeft) => {
                Some(Outcome::CallerLeft)
            }
            Ok(Err(error)) => {
                if error.is_not_run() {
                    self.run_record.end_not_run(record_before);
                }
                self.on_error(assignment, &error, progress.answer_began());
                None
            }
            Err(Interruption::DeadlinePassed) => Some(self.deadline_outcome(response)),
            // The scheduler has already ended the attempt.
            Err(Interruption::Cancelled) => None,
        }
    }

    /// Completes when a running attempt must be stopped.
    async fn interruption<T>(
        &self,
        reader: &mut RequestReader,
        progress: &AttemptProgress,
    ) -> Result<T, Interruption> {
        // A run that must not be repeated continues after its caller has disconnected.
        let run_continues =
            !self.request.route.is_repeatable() && !self.request.route.is_streaming();
        let cancelled = async {
            while !matches!(self.handle.next_effect().await, Effect::Cancel { .. }) {}
            Err(Interruption::Cancelled)
        };
        let caller_left = async {
            reader.caller_closed().await;
            if run_continues && progress.is_sent() {
                std::future::pending::<()>().await;
            }
            Err(Interruption::CallerLeft)
        };
        let deadline = async {
            self.deadline().await;
            Err(Interruption::DeadlinePassed)
        };
        cancelled.or(deadline).or(caller_left).await
    }

    fn record_attempt(
        &mut self,
        assignment: &Assignment,
        started: Instant,
        progress: &AttemptProgress,
        error: Option<String>,
    ) {
        self.request_log.push(AttemptRecord {
            target: assignment.target.clone(),
            weights: assignment.weights,
            software: assignment.software.clone(),
            started_after: started.saturating_duration_since(self.request.arrived),
            duration: started.elapsed(),
            transfers: progress.transfers(),
            estimate: assignment.estimate,
            relay: progress.relay().cloned(),
            connection: progress.connection(),
            error,
        });
    }

    fn on_response(
        &mut self,
        assignment: &Assignment,
        received: TargetResponse,
    ) -> Option<Outcome> {
        self.shared.prompt_quarantine.record_answer(self.request);
        match received {
            TargetResponse::Streamed => {
                self.handle
                    .report_end(assignment.number, AttemptOutcome::Done);
                Some(Outcome::Streamed)
            }
            TargetResponse::UnprovenRefusal => {
                self.handle
                    .report_end(assignment.number, AttemptOutcome::TargetError);
                Some(Outcome::LocalResponse(unknown_fate()))
            }
            TargetResponse::Complete(head, body)
                if head.status >= 500 && self.request.route.is_repeatable() =>
            {
                self.target_error = Some((head, body));
                self.handle
                    .report_end(assignment.number, AttemptOutcome::TargetError);
                None
            }
            TargetResponse::Complete(head, body) => {
                let outcome = if head.status >= 500 {
                    AttemptOutcome::TargetError
                } else {
                    self.handle.report_first_token(assignment.number);
                    AttemptOutcome::Done
                };
                self.handle.report_end(assignment.number, outcome);
                Some(Outcome::Response(head, body))
            }
        }
    }

    /// Logs what the target had of a prompt when its connection broke: requests in which targets
    /// end may have a part in common.
    fn log_broken_off(&self, assignment: &Assignment, answer_began: bool) {
        let Some(prompt) = &self.request.head.prompt else {
            return;
        };
        let parts = prompt.shared_parts().iter().map(|p| hash_label(&p.id));
        let parts: Vec<String> = parts.collect();
        log::info!(
            "event=prompt_broken_off request={} target={} answer_began={answer_began} parts={}",
            LogValue(&self.request.head.id),
            LogValue(&assignment.target),
            LogValue(&parts.join(","))
        );
    }

    /// Records a prompt that its target may have ended on, and has the target checked.
    fn record_loss(&self, assignment: &Assignment) {
        let quarantine = &self.shared.prompt_quarantine;
        quarantine.record_loss(assignment, self.request);
        self.shared.scheduler.submit(Event::Signal {
            target: assignment.target.clone(),
            signal: Signal::ReportedUnreachable,
        });
    }

    fn on_error(&self, assignment: &Assignment, error: &AttemptError, answer_began: bool) {
        if error.outcome().is_broken_off() {
            self.log_broken_off(assignment, answer_began);
        }
        if let AttemptError::Refused(info) = error
            && info.run == RunReport::Misdirected
        {
            // If another target responded at the address, the assigned one is gone; otherwise it is
            // taken to run another weight version.
            let is_other_target = info
                .target
                .as_ref()
                .is_some_and(|t| *t != assignment.target);
            let signal = if is_other_target {
                Signal::Leaving
            } else {
                Signal::Reachable
            };
            let _ = self.shared.target_observations.try_send(TargetObservation {
                target: assignment.target.clone(),
                signal,
                weights: info.weights.or(Some(0)).filter(|_| !is_other_target),
                said_leaving: false,
            });
        }
        self.handle.report_end(assignment.number, error.outcome());
        if matches!(error, AttemptError::Evacuated) {
            self.handle.leave_evacuated_hub();
        }
        if error.outcome().is_broken_off() && !answer_began {
            self.record_loss(assignment);
        }
    }

    fn on_refusal(&mut self, refusal: &Refusal, response: &CallerResponse<'_>) -> Outcome {
        self.outcome(&Ending::Refused(refusal), response)
    }

    fn outcome(&mut self, ending: &Ending<'_>, response: &CallerResponse<'_>) -> Outcome {
        let state = ResponseState {
            head_sent: response.head_sent,
            has_target_error: self.target_error.is_some(),
        };
        match (
            self.run_record.outcome(ending, state),
            self.target_error.take(),
        ) {
            (EndingOutcome::TargetError, Some((head, body))) => Outcome::Response(head, body),
            (EndingOutcome::CutShort | EndingOutcome::TargetError, _) => Outcome::CutShort,
            (EndingOutcome::LocalResponse(response), _) => Outcome::LocalResponse(response),
        }
    }
}
