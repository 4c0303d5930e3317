//! The life of one request at its entry, with the steps of the gateway's `RequestDriver`.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use async_io::Timer;
use fastrand::Rng;
use futures_lite::FutureExt;
use guavahold::catalog::{Policy, PriorityClass};
use guavahold::domain_scheduler::ScheduledRequest;
use guavahold::gateway::{Ending, EndingOutcome, ResponseState, RunRecord};
use guavahold::http::RunState;
use guavahold::scheduler::{Arrival, AttemptOutcome, Effect, Refusal};

use crate::attempt::{Attempt, AttemptResult};
use crate::simulation::{arrival, ms, policy};
use crate::world::World;

/// What a request waits for.
enum Next {
    Effect(Effect),
    Held,
    DeadlinePassed,
    CallerLeft,
}

/// Why a running attempt is stopped.
enum Interruption {
    Cancelled,
    DeadlinePassed,
    CallerLeft,
}

/// Status of a final response, or that the connection ends without one.
#[derive(Clone, Copy)]
enum Final {
    Status(u16),
    NoAnswer,
}

struct Driver {
    world: Arc<World>,
    handle: ScheduledRequest,
    id: u64,
    repeatable: bool,
    deadline: Instant,
    caller_leaves: Option<Instant>,
    held_at: Option<Instant>,
    record: RunRecord,
    head_sent: bool,
    has_target_error: bool,
    rng: Rng,
}

async fn until(at: Option<Instant>) {
    match at {
        Some(at) => drop(Timer::at(at).await),
        None => std::future::pending().await,
    }
}

fn new_arrival(id: u64, repeatable: bool, total_ms: u64, rng: &mut Rng) -> Arrival {
    // The scheduler knows of no deadline that is as early, so that it does not refuse most at once.
    let first_token_ms = total_ms * rng.u64(1..12);
    let mut arrival = arrival(id, "a", &policy(PriorityClass::Standard, first_token_ms));
    arrival.policy = Arc::new(Policy {
        total_ms,
        idempotent: repeatable,
        ..(*arrival.policy).clone()
    });
    arrival.max_attempts = rng.u32(1..4);
    arrival.resumable = repeatable && rng.bool();
    arrival
}

/// Plays one request from its arrival to its final response.
pub async fn run(world: Arc<World>, mut rng: Rng) {
    let id = world.arrived.fetch_add(1, Ordering::Relaxed) + 1;
    let repeatable = rng.u8(..5) == 0;
    world.ledger.arrived(id, !repeatable);
    let total_ms = rng.u64(300..2_000);
    let handle = world
        .client
        .submit(new_arrival(id, repeatable, total_ms, &mut rng));
    let at = |rng: &mut Rng, one_in: u64| {
        let at = Instant::now() + ms(rng.u64(..total_ms));
        (rng.u64(..one_in) == 0).then_some(at)
    };
    let driver = Driver {
        deadline: Instant::now() + ms(total_ms),
        caller_leaves: at(&mut rng, 20),
        held_at: at(&mut rng, 25),
        world,
        handle,
        id,
        repeatable,
        record: RunRecord::default(),
        head_sent: false,
        has_target_error: false,
        rng,
    };
    driver.run().await;
}

impl Driver {
    async fn run(mut self) {
        let (status, finished) = match self.attempts().await {
            Final::Status(status) => (status, status == 200 || self.has_target_error),
            Final::NoAnswer => (0, false),
        };
        if finished {
            self.handle.finish();
        }
        let label = self.handle.scheduler_label();
        self.world.ledger.answered(self.id, status, &label);
    }

    async fn attempts(&mut self) -> Final {
        loop {
            match self.next().await {
                Next::Effect(Effect::Dispatch {
                    attempt, target, ..
                }) => {
                    let note = format!("dispatched {attempt} to {target}");
                    self.world.ledger.note(self.id, note);
                    self.world.record_dispatch(self.id);
                    if let Some(end) = self.attempt(attempt).await {
                        return end;
                    }
                }
                Next::Effect(Effect::Refuse { refusal, .. }) => {
                    self.world.ledger.note(self.id, format!("{refusal:?}"));
                    return self.outcome(&Ending::Refused(&refusal));
                }
                Next::Effect(_) => {}
                Next::Held => return self.held(),
                Next::DeadlinePassed => return self.outcome(&Ending::DeadlinePassed),
                Next::CallerLeft => return Final::NoAnswer,
            }
        }
    }

    async fn next(&self) -> Next {
        let effect = async { Next::Effect(self.handle.next_effect().await) };
        let deadline = async {
            until(Some(self.deadline)).await;
            Next::DeadlinePassed
        };
        let caller_left = async {
            until(self.caller_leaves).await;
            Next::CallerLeft
        };
        let held = async {
            until(self.held_at).await;
            Next::Held
        };
        effect.or(deadline).or(caller_left).or(held).await
    }

    fn held(&self) -> Final {
        let refusal = Refusal::Quarantined {
            retry_after: ms(500),
            run: RunState::NotRun,
        };
        self.outcome(&Ending::Refused(&refusal))
    }

    fn outcome(&self, ending: &Ending<'_>) -> Final {
        let state = ResponseState {
            head_sent: self.head_sent,
            has_target_error: self.has_target_error,
        };
        match self.record.outcome(ending, state) {
            EndingOutcome::CutShort => Final::NoAnswer,
            EndingOutcome::TargetError => Final::Status(500),
            EndingOutcome::LocalResponse(response) => Final::Status(response.status),
        }
    }

    /// Plays one attempt; `None` when the scheduler decides how the request continues.
    async fn attempt(&mut self, number: u32) -> Option<Final> {
        if self.held_at.is_some_and(|at| at <= Instant::now()) {
            return Some(self.held());
        }
        let record_before = self.record.begin_attempt();
        let mut rng = self.rng.fork();
        let mut head_sent = self.head_sent;
        let result = {
            let attempt = Attempt {
                world: &self.world,
                handle: &self.handle,
                id: self.id,
                number,
                repeatable: self.repeatable,
            };
            let run = async { Ok(attempt.run(&mut rng, &mut head_sent).await) };
            run.or(self.interruption()).await
        };
        self.head_sent = head_sent;
        match result {
            Ok(result) => self.on_result(number, &result, record_before),
            Err(Interruption::DeadlinePassed) => Some(self.outcome(&Ending::DeadlinePassed)),
            Err(Interruption::CallerLeft) => Some(Final::NoAnswer),
            Err(Interruption::Cancelled) => {
                self.world.ledger.note(self.id, "cancelled".into());
                None
            }
        }
    }

    async fn interruption(&self) -> Result<AttemptResult, Interruption> {
        let cancelled = async {
            while !matches!(self.handle.next_effect().await, Effect::Cancel { .. }) {}
            Err(Interruption::Cancelled)
        };
        let deadline = async {
            until(Some(self.deadline)).await;
            Err(Interruption::DeadlinePassed)
        };
        let caller_left = async {
            until(self.caller_leaves).await;
            Err(Interruption::CallerLeft)
        };
        cancelled.or(deadline).or(caller_left).await
    }

    fn on_result(
        &mut self,
        number: u32,
        result: &AttemptResult,
        record_before: RunRecord,
    ) -> Option<Final> {
        self.world
            .ledger
            .note(self.id, format!("{number} ended {result:?}"));
        let outcome = result.outcome(&mut self.rng);
        if result.is_not_run() {
            self.record.end_not_run(record_before);
        }
        if *result == AttemptResult::Answered {
            self.handle.report_first_token(number);
        }
        if outcome != AttemptOutcome::Cancelled {
            self.handle.report_end(number, outcome);
        }
        match result {
            AttemptResult::Answered => return Some(Final::Status(200)),
            AttemptResult::UnprovenRefusal => return Some(Final::Status(502)),
            AttemptResult::TargetError if self.repeatable => self.has_target_error = true,
            AttemptResult::TargetError => return Some(Final::Status(500)),
            AttemptResult::Unsent {
                evacuated: true, ..
            } => self.handle.leave_evacuated_hub(),
            _ => {}
        }
        None
    }
}
