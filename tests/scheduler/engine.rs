//! A target of the simulation.

use std::collections::VecDeque;

use guavahold::scheduler::{RequestId, TargetInfo};

/// A simulated target.
#[derive(Debug)]
pub struct Engine {
    pub info: TargetInfo,
    pub slots: u32,
    pub slowness: f64,
    pub reachable: bool,
    /// Number of attempts received.
    pub received: u32,
    /// Requests and their attempts that hold a slot.
    pub running: Vec<(RequestId, u32)>,
    pub waiting: VecDeque<(RequestId, u32)>,
}
