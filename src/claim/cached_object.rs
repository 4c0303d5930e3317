//! Local copies of the platform's claim objects.

use crate::claim::BucketState;
use crate::platform::Version;
use crate::prelude::*;

/// The object of a time bucket as last read or written by this entry.
#[derive(Clone, Debug)]
pub(crate) struct CachedObject {
    /// Version in the platform; `None` when the object does not exist.
    pub(crate) version: Option<Version>,
    pub(crate) state: BucketState,
    /// When the object was read or written; `None` for an object assumed absent without a read.
    pub(crate) confirmed_at: Option<Timestamp>,
}

impl CachedObject {
    /// An object that does not exist, or is assumed not to.
    pub(crate) fn absent(confirmed_at: Option<Timestamp>) -> Self {
        Self {
            version: None,
            state: BucketState::default(),
            confirmed_at,
        }
    }
}
