//! Sharing of a store's link between transfers.

mod pacer;
mod share;
mod throttle;

pub use pacer::{Pacer, PacerConfig, Start, TransferId};
pub use share::{FairQueue, Urgency};
pub(crate) use throttle::{Throttle, Transfer};
