//! What was seen of a target at one moment.

use crate::prelude::*;

/// Requests running and queued at a target, as seen at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// When they were counted.
    pub at: Timestamp,
    /// Requests running and queued.
    pub requests: u32,
    /// How many of them were the chooser's own; zero if the count leaves those out.
    pub own: u32,
}

impl Observation {
    /// Requests of the other choosers.
    #[must_use]
    pub fn others(&self) -> u32 {
        self.requests.saturating_sub(self.own)
    }
}
