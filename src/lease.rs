//! Leases stored on the platform; each new holder gets a greater fencing token.

mod client;
mod object;
mod record;
mod state_machine;

pub use client::LeaseClient;
pub use object::LeaseObject;
pub use record::{LeaseRecord, LeaseRelease};
pub use state_machine::{HeldLease, LeaseEffect, LeaseEvent, LeaseSettings, LeaseStateMachine};
