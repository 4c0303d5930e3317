//! Orders to targets, so that the weight versions of the catalog come into service.

mod event;
mod orderer;
mod planner;
mod share;

pub use event::{OrderEffect, OrderEvent, OrderResult};
pub use orderer::Orderer;
pub use planner::OrderPlanner;
