//! Leases kept in the platform, each holder with a greater fencing number.

mod keeper;
mod machine;
mod record;

pub use keeper::LeaseKeeper;
pub use machine::{Hold, LeaseEffect, LeaseEvent, LeaseMachine, LeaseSettings};
pub use record::LeaseRecord;
