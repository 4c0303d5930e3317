//! Decisions without input or output.
//!
//! [`Desk`] is a state machine: time, events and a seeded random generator go in, typed effects come
//! out. The programs, random tests and replayed traces all drive the same code.

mod desk;
mod effect;
mod event;
mod refusal;

pub use desk::{Desk, DeskSettings};
pub use effect::Effect;
pub use event::{Arrival, AttemptOutcome, Event, RequestId, Signal, TargetInfo};
pub use refusal::Refusal;
