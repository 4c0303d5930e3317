//! Limits that targets set on the requests which all entries together send them.
//!
//! A target names its limit in its responses for as long as it holds. [`LimitTable`] is what one
//! entry knows of the limits of all targets; entries tell each other by [`LimitReport`]. Nobody
//! coordinates them: each scheduler has a fixed share ([`RateShare`]) that follows from the number of
//! schedulers.

mod fractions;
mod observation;
mod rate;
mod report;
mod share;
mod slot_share;
mod table;
mod warm_up;

pub use fractions::{ENTRIES_FRACTION, FRACTION_BESIDE_HUB, HUB_FRACTION};
pub use observation::{LimitObservation, NamedLimit};
pub use rate::{RateError, RequestRate};
pub use report::{LimitReport, process_hash};
pub use share::{RateShare, ShareMeter, SharePosition};
pub use slot_share::own_slots;
pub use table::{LimitChange, LimitTable, TargetLimit};
pub use warm_up::{ColdBound, WarmUpAllowance};
