//! Orders to targets to load and unload weights, so that each model runs the weight version that
//! the catalog states.
//!
//! In each failure domain one entry gives the orders, under a lease whose fencing token goes with
//! every order.

mod controller;
mod event;
mod planner;
mod share;

pub use controller::OrderController;
pub use event::{OrderEffect, OrderEvent, OrderResult};
pub use planner::OrderPlanner;
