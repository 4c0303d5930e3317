//! How evenly the targets of a plain service are loaded.

use crate::prelude::*;

/// How evenly the targets of a service are loaded, by what is known late of them.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSpread {
    /// The service.
    pub serves: Name,
    /// Targets that take work.
    pub targets: usize,
    /// Targets believed to be full.
    pub full: usize,
    /// Requests relative to the slots of the least utilized target.
    pub least: f64,
    /// Requests relative to the slots of all targets.
    pub mean: f64,
    /// Requests relative to the slots of the most utilized target.
    pub most: f64,
    /// Share of the requests that goes beyond the own failure domain.
    pub moved: f64,
}

impl LoadSpread {
    /// Whether a target has no room while another has at least half of its slots free.
    #[must_use]
    pub fn is_uneven(&self) -> bool {
        self.most >= 1.0 && self.least <= 0.5
    }
}
