//! Leases stored on the platform; each new holder gets a greater fencing token.

mod keeper;
mod machine;
mod record;

pub use keeper::LeaseKeeper;
pub use machine::{Hold, LeaseEffect, LeaseEvent, LeaseMachine, LeaseSettings};
pub use record::LeaseRecord;
