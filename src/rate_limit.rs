//! Limits that targets set on the requests which all entries together send them.
//!
//! A target names its limit in its responses for as long as it holds. [`LimitTable`] is what one
//! entry knows of the limits of all targets.

mod observation;
mod rate;
mod table;

pub use observation::{LimitObservation, NamedLimit};
pub use rate::{RateError, RequestRate};
pub use table::{LimitChange, LimitTable};
