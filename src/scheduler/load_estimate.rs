//! The load estimate behind a placement, for the log.

use crate::prelude::*;

/// Load of a target as the entry estimated it when it chose the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadEstimate {
    /// Work queued there by this entry and by others, in prompt tokens; that of others is from the
    /// newest load report, however old.
    pub work: u32,
    /// Requests there, of this entry and of others.
    pub requests: u32,
    /// Age of the figures of other entries; `None` when there are none or they are too old to use.
    pub age: Option<Duration>,
    /// Work queued at the home of the prompt (the target that most likely has its start cached), in
    /// prompt tokens; `None` when the home itself was chosen or no candidate for it takes work.
    pub home_work: Option<u32>,
}
