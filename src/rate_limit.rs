//! Limits that targets set on the requests which all entries together send them.
//!
//! A target names its limit in its responses for as long as it holds. [`LimitTable`] is what one
//! entry knows of the limits of all targets; entries tell each other by [`LimitReport`]. Nobody
//! coordinates them: each scheduler has a fixed share ([`RateShare`]) that follows from the number of
//! schedulers.

mod observation;
mod rate;
mod report;
mod share;
mod slot_share;
mod table;

pub use observation::{LimitObservation, NamedLimit};
pub use rate::{RateError, RequestRate};
pub use report::{LimitReport, process_hash};
pub use share::{RateShare, ShareMeter, SharePosition};
pub use slot_share::own_slots;
pub use table::{LimitChange, LimitTable, TargetLimit};
