//! Orders to targets to load and unload weights, so that each model runs the weight version that
//! the catalog states.
//!
//! In each failure domain one entry gives the orders, under a lease whose fencing token goes with
//! every order.

mod event;
mod orderer;
mod planner;
mod share;

pub use event::{OrderEffect, OrderEvent, OrderResult};
pub use orderer::Orderer;
pub use planner::OrderPlanner;
