//! One attempt at a played target: connecting, sending, relays that hold the request, and how it ends.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use fastrand::Rng;
use guavahold::domain_scheduler::ScheduledRequest;
use guavahold::scheduler::AttemptOutcome;

use crate::simulation::ms;
use crate::world::World;

/// How an attempt ended, as the entry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A whole response, or a stream to its end.
    Answered,
    /// A response whose status promises, without proof.
    UnprovenRefusal,
    /// The target's own failure.
    TargetError,
    /// Nothing was sent; whether an evacuation was the reason.
    Unsent { evacuated: bool, connected: bool },
    /// The target proved that it did not run the request.
    Refused,
    /// The connection ended; whether in the answer.
    Broken { in_answer: bool },
    /// It may be another request's response.
    Doubtful,
}

impl AttemptResult {
    /// Whether it proves that the attempt did not run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Unsent { .. } | Self::Refused)
    }

    /// What the entry reports to the scheduler.
    pub fn outcome(&self, rng: &mut Rng) -> AttemptOutcome {
        let retry_after = (rng.u8(..4) == 0).then(|| ms(rng.u64(..100)));
        match self {
            Self::Answered => AttemptOutcome::Done,
            Self::UnprovenRefusal | Self::TargetError => AttemptOutcome::TargetError,
            Self::Unsent { connected, .. } if *connected => AttemptOutcome::Withheld,
            Self::Unsent { .. } => AttemptOutcome::NotSent,
            Self::Refused | Self::Doubtful => AttemptOutcome::Refused { retry_after },
            Self::Broken { in_answer: true } => AttemptOutcome::CutShort,
            Self::Broken { in_answer: false } => AttemptOutcome::Lost,
        }
    }
}

/// An attempt of a request that may run once unless `repeatable`.
pub struct Attempt<'a> {
    pub world: &'a Arc<World>,
    pub handle: &'a ScheduledRequest,
    pub id: u64,
    pub number: u32,
    pub repeatable: bool,
}

impl Attempt<'_> {
    /// Plays the attempt; `head_sent` is set with the first event of a stream.
    pub async fn run(&self, rng: &mut Rng, head_sent: &mut bool) -> AttemptResult {
        Timer::after(ms(rng.u64(..20))).await;
        match rng.u8(..60) {
            0..3 => return unsent(false, false),
            3..7 => return unsent(false, true),
            7 => return unsent(true, true),
            _ => {}
        }
        self.world.ledger.sent(self.id);
        // A relay may hold the request, and passes it on even if the entry has given it up.
        if rng.u8(..4) == 0 {
            Timer::after(ms(rng.u64(..150))).await;
        }
        if rng.u8(..4) == 0 {
            Timer::after(ms(rng.u64(..120))).await;
            self.world.ledger.proved_not_run(self.id);
            return AttemptResult::Refused;
        }
        if rng.u8(..30) == 0 {
            return AttemptResult::Broken { in_answer: false };
        }
        let held = if rng.u8(..5) == 0 {
            rng.u64(..1_500)
        } else {
            rng.u64(..40)
        };
        self.run_after(ms(held));
        Timer::after(ms(rng.u64(..200))).await;
        self.end(rng, head_sent).await
    }

    /// Lets the target run the request after some time, whatever becomes of the attempt.
    fn run_after(&self, held: Duration) {
        let (world, id) = (self.world.clone(), self.id);
        self.world.spawn(async move {
            Timer::after(held).await;
            world.ledger.ran(id);
        });
    }

    async fn end(&self, rng: &mut Rng, head_sent: &mut bool) -> AttemptResult {
        match rng.u8(..30) {
            0..2 => AttemptResult::Broken { in_answer: false },
            2 | 3 => AttemptResult::UnprovenRefusal,
            4 => AttemptResult::TargetError,
            5 => std::future::pending().await,
            6 if self.repeatable => AttemptResult::Doubtful,
            7 => AttemptResult::Broken { in_answer: true },
            n => {
                self.handle.report_first_token(self.number);
                *head_sent = true;
                Timer::after(ms(rng.u64(..200))).await;
                if n < 9 {
                    AttemptResult::Broken { in_answer: true }
                } else {
                    AttemptResult::Answered
                }
            }
        }
    }
}

fn unsent(evacuated: bool, connected: bool) -> AttemptResult {
    AttemptResult::Unsent {
        evacuated,
        connected,
    }
}
