//! Copies of the platform's claim objects.

use crate::claim::ShardState;
use crate::platform::Version;
use crate::prelude::*;

/// The object of a window as last seen.
#[derive(Clone, Debug)]
pub(crate) struct Cached {
    pub(crate) version: Option<Version>,
    pub(crate) state: ShardState,
    /// Time at which it was read or written; `None` when that is a guess.
    pub(crate) seen: Option<Timestamp>,
}

impl Cached {
    /// An object taken not to exist.
    pub(crate) fn absent(seen: Option<Timestamp>) -> Self {
        Self {
            version: None,
            state: ShardState::default(),
            seen,
        }
    }
}
