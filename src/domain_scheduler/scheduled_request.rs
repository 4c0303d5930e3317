//! Handle of one request, on which the scheduler of a failure domain or the entry's own one decides.

use std::sync::{Mutex, MutexGuard, PoisonError};

use async_channel::Receiver;
use futures_lite::FutureExt;

use crate::catalog::Policy;
use crate::clock::coarse_sleep;
use crate::domain_scheduler::{CallStep, Decision, Grant, SchedulerClient};
use crate::http::RunState;
use crate::prelude::*;
use crate::scheduler::{Arrival, AttemptOutcome, Effect, Refusal, RequestId};
use crate::shared_scheduler::RequestHandle;

/// Time without a reply from the hub after which the entry schedules a request itself. Hubs repeat
/// that a request waits more often than that.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// The same time for the first reply, which is sent at once.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause before a caller may retry a request that failed.
const FAILURE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Who decides on a request.
#[derive(Clone)]
enum Decider {
    /// The scheduler of a failure domain.
    Hub {
        hub: Name,
        decisions: Receiver<Decision>,
    },
    /// The entry's own scheduler.
    Local(Arc<RequestHandle>),
    /// Nobody any more: the request has ended.
    Ended,
}

/// What happened to a request so far, as far as the entry knows.
#[derive(Clone, Debug, Default)]
struct History {
    /// Attempts of which anything was sent.
    sent: u32,
    /// Whether a target has run it.
    run: RunState,
    /// Whether an attempt is running.
    running: bool,
    /// Whether the hub has said anything.
    heard: bool,
    /// Whether the response has begun.
    first_token_received: bool,
    /// Software version of the target of the last attempt.
    software: Name,
}

struct State {
    decider: Decider,
    history: History,
    /// Hub that scheduled the request, or first.
    hub: Option<Name>,
    /// Whether the entry took the request back from its hub.
    fell_back: bool,
}

/// Handle of one request. Dropping it before [`ScheduledRequest::finish`] reports that the caller
/// disconnected.
pub struct ScheduledRequest {
    client: Arc<SchedulerClient>,
    arrival: Arrival,
    /// Time of the submission.
    submitted: Timestamp,
    state: Mutex<State>,
}

impl ScheduledRequest {
    /// Makes the handle of a request that was sent to a hub.
    pub(crate) fn remote(
        client: Arc<SchedulerClient>,
        arrival: Arrival,
        hub: Name,
        decisions: Receiver<Decision>,
    ) -> Self {
        Self::with_decider(client, arrival, Decider::Hub { hub, decisions })
    }

    /// Submits a request to the entry's own scheduler.
    pub(crate) fn local(client: Arc<SchedulerClient>, arrival: Arrival) -> Self {
        let handle = client.local.submit_request(arrival.clone());
        Self::with_decider(client, arrival, Decider::Local(Arc::new(handle)))
    }

    fn with_decider(client: Arc<SchedulerClient>, arrival: Arrival, decider: Decider) -> Self {
        let hub = match &decider {
            Decider::Hub { hub, .. } => Some(hub.clone()),
            _ => None,
        };
        let state = State {
            decider,
            history: History::default(),
            hub,
            fell_back: false,
        };
        Self {
            submitted: client.local.now(),
            client,
            arrival,
            state: Mutex::new(state),
        }
    }

    /// Waits for the next effect of this request; does not complete when none follows.
    pub async fn next_effect(&self) -> Effect {
        loop {
            let (decider, history) = {
                let state = self.lock();
                (state.decider.clone(), state.history.clone())
            };
            let decisions = match decider {
                Decider::Local(handle) => return handle.next_effect().await,
                Decider::Hub { decisions, .. } => decisions,
                Decider::Ended => return std::future::pending().await,
            };
            let silence = async {
                coarse_sleep(silence_timeout(&history)).await;
                None
            };
            let decision = async { decisions.recv().await.ok() };
            let decision = if history.running {
                decision.await
            } else {
                decision.or(silence).await
            };
            if decision.is_none() && history.running {
                // The hub is gone; the end of the running attempt is awaited first.
                return std::future::pending().await;
            }
            if let Some(effect) = self.on_decision(decision) {
                return effect;
            }
        }
    }

    /// Turns a decision into an effect, if it requires one; without a decision, the entry decides
    /// itself.
    fn on_decision(&self, decision: Option<Decision>) -> Option<Effect> {
        let id = self.arrival.id;
        let mut state = self.lock();
        state.history.heard = true;
        match decision {
            Some(Decision::Queued) => None,
            Some(Decision::Cancel(attempt)) => {
                state.history.running = false;
                state.history.sent += 1;
                state.history.run = RunState::Unknown;
                Some(Effect::Cancel { id, attempt })
            }
            // All else that arrives during an attempt is for a request that an earlier process of this
            // entry gave the same number.
            Some(Decision::Dispatch(grant)) if state.history.running => {
                self.log_ignored(&grant);
                None
            }
            Some(decision) if state.history.running => {
                let number = id.0;
                log::warn!("event=decision_ignored number={number} decision={decision:?}");
                None
            }
            Some(Decision::Dispatch(grant)) if !self.may_run_again(&state.history) => {
                drop(state);
                self.log_ignored(&grant);
                self.fall_back()
            }
            Some(Decision::Dispatch(grant)) => {
                state.history.running = true;
                state.history.software.clone_from(&grant.software);
                Some(grant.into_effect(id))
            }
            // A hub that has just begun may not know its targets yet.
            Some(Decision::Refuse(Refusal::NoTarget { .. })) => {
                drop(state);
                self.fall_back()
            }
            Some(Decision::Declined) | None => {
                if let Decider::Hub { hub, .. } = &state.decider {
                    self.client.exclude(hub);
                }
                drop(state);
                self.fall_back()
            }
            Some(Decision::Refuse(refusal)) => {
                state.decider = Decider::Ended;
                drop(state);
                self.client.close(id.0);
                Some(Effect::Refuse { id, refusal })
            }
        }
    }

    /// Takes the request back from its hub and submits it to the entry's own scheduler, with the
    /// attempts and the time that are left; returns a refusal if it may not run again.
    fn fall_back(&self) -> Option<Effect> {
        let mut state = self.lock();
        let Decider::Hub { hub, .. } = &state.decider else {
            return None;
        };
        let (hub, history) = (hub.clone(), state.history.clone());
        state.decider = Decider::Ended;
        state.fell_back = true;
        drop(state);
        self.client.close(self.arrival.id.0);
        self.client.call(&hub, self.arrival.id.0, CallStep::Left);
        let Some(arrival) = self.remaining_arrival(&history) else {
            return Some(Effect::Refuse {
                id: self.arrival.id,
                refusal: Refusal::Failed {
                    run: history.run,
                    retry_after: FAILURE_RETRY_PAUSE,
                },
            });
        };
        let handle = self.client.local.submit_request(arrival);
        self.lock().decider = Decider::Local(Arc::new(handle));
        None
    }

    /// Takes the request back from a hub that granted a target in an evacuated failure domain: the
    /// hub may be of an earlier build, and the targets of its domain are all that it has.
    /// A request that may not run again is left to the hub, which refuses it.
    pub fn leave_evacuated_hub(&self) {
        let history = self.lock().history.clone();
        if self.remaining_arrival(&history).is_some() {
            self.fall_back();
        }
    }

    fn log_ignored(&self, grant: &Grant) {
        let (number, target, attempt) = (self.arrival.id.0, &grant.target, grant.attempt);
        log::warn!("event=grant_ignored number={number} target={target} attempt={attempt}");
    }

    /// Whether another run breaks no promise: none has begun, or the request may be repeated.
    fn may_run_again(&self, history: &History) -> bool {
        history.run == RunState::NotRun || self.arrival.policy.idempotent
    }

    /// The request as the entry's own scheduler gets it; `None` if it may not run again.
    fn remaining_arrival(&self, history: &History) -> Option<Arrival> {
        let policy = &self.arrival.policy;
        let begun = history.first_token_received && !self.arrival.resumable;
        let max_attempts = match self.arrival.max_attempts {
            0 => 0,
            max => max.saturating_sub(history.sent),
        };
        let exhausted = max_attempts == 0 && history.sent > 0;
        if !self.may_run_again(history) || begun || exhausted {
            return None;
        }
        let began_at = history
            .first_token_received
            .then(|| history.software.clone());
        let passed = self.client.local.now().saturating_sub(self.submitted);
        let passed_ms = u64::try_from(passed.as_millis()).unwrap_or(u64::MAX);
        Some(Arrival {
            id: self.client.local.next_id(),
            policy: Arc::new(Policy {
                first_token_ms: policy.first_token_ms.saturating_sub(passed_ms),
                total_ms: policy.total_ms.saturating_sub(passed_ms),
                ..(**policy).clone()
            }),
            max_attempts,
            software: self.arrival.software.clone().or(began_at),
            ..self.arrival.clone()
        })
    }

    /// Which scheduler decided, for the log: the name of a hub, `own`, or `own-after-HUB` when the
    /// entry took the request back.
    #[must_use]
    pub fn scheduler_label(&self) -> String {
        let state = self.lock();
        match &state.hub {
            Some(hub) if state.fell_back => format!("own-after-{hub}"),
            Some(hub) => hub.to_string(),
            None => "own".to_owned(),
        }
    }

    /// Reports the first byte of an attempt's response.
    pub fn report_first_token(&self, attempt: u32) {
        let mut state = self.lock();
        state.history.first_token_received = true;
        match state.decider.clone() {
            Decider::Local(handle) => handle.report_first_token(attempt),
            Decider::Hub { hub, .. } => {
                let step = CallStep::FirstToken(attempt);
                self.client.call(&hub, self.arrival.id.0, step);
            }
            Decider::Ended => {}
        }
    }

    /// Reports the end of an attempt.
    pub fn report_end(&self, attempt: u32, outcome: AttemptOutcome) {
        let mut state = self.lock();
        state.history.running = false;
        match state.decider.clone() {
            Decider::Local(handle) => handle.report_end(attempt, outcome),
            Decider::Hub { hub, .. } => {
                if !outcome.is_unsent() {
                    state.history.sent += 1;
                }
                state.history.run = outcome.run_state_after(state.history.run);
                if outcome.ends_request() {
                    state.decider = Decider::Ended;
                }
                drop(state);
                let ended = outcome.ends_request();
                let step = CallStep::Ended(attempt, outcome);
                self.client.call(&hub, self.arrival.id.0, step);
                if ended {
                    self.client.close(self.arrival.id.0);
                }
            }
            Decider::Ended => {}
        }
    }

    /// Closes the handle after the end of the last attempt was reported or the request was refused.
    pub fn finish(&self) {
        let mut state = self.lock();
        match &state.decider {
            Decider::Local(handle) => handle.finish(),
            // The hub learns that the running attempt ends when the handle is dropped.
            Decider::Hub { .. } if state.history.running => return,
            Decider::Hub { hub, .. } => {
                let hub = hub.clone();
                self.client.call(&hub, self.arrival.id.0, CallStep::Left);
            }
            Decider::Ended => {}
        }
        state.decider = Decider::Ended;
        drop(state);
        self.client.close(self.arrival.id.0);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ScheduledRequest {
    fn drop(&mut self) {
        let decider = self.lock().decider.clone();
        if let Decider::Hub { hub, .. } = decider {
            self.client.close(self.arrival.id.0);
            let id: RequestId = self.arrival.id;
            self.client.call(&hub, id.0, CallStep::Left);
        }
    }
}

fn silence_timeout(history: &History) -> Duration {
    if history.heard {
        SILENCE_TIMEOUT
    } else {
        FIRST_REPLY_TIMEOUT
    }
}
