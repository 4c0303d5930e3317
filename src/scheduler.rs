//! Admission, placement, retries and hedges of the requests at one entry, without input or output.
//!
//! [`Scheduler`] is a state machine: it takes the time, events and the seed of its random
//! generator, and returns typed effects that the program carries out. The programs, the randomized
//! tests and the replayed traces all drive the same code.

mod backoff;
mod budget;
mod effect;
mod event;
mod ewma;
mod fair_queue;
mod fleet;
mod flow;
mod invariants;
mod lane;
mod load_estimate;
mod load_spread;
mod machine;
mod quantile;
mod refusal;
mod request;
mod reservations;
mod settings;
mod suspect_request;
mod suspect_requests;
mod warm_up;

pub use effect::Effect;
pub use event::{Arrival, AttemptOutcome, Event, RequestId, Signal, TargetInfo};
pub use fleet::OwnLoad;
pub(crate) use fleet::mix;
pub use load_estimate::LoadEstimate;
pub use load_spread::LoadSpread;
pub use machine::Scheduler;
pub use refusal::Refusal;
pub use settings::{Placement, RetryBurst, SchedulerSettings};
pub use suspect_request::SuspectRequest;
pub use warm_up::{WarmUpPlan, WarmUpReason, WarmingTarget};
