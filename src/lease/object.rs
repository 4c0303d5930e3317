//! The object that stores a lease, as a candidate sees it.

use crate::lease::LeaseRecord;
use crate::platform::{StoreRevision, Version};
use crate::prelude::*;

/// A lease's object as it was read or written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseObject {
    /// Its version.
    pub version: Version,
    /// Its record; `None` if another writer has overwritten the object with something else.
    pub record: Option<LeaseRecord>,
}

impl LeaseObject {
    /// A fencing token that is not below any that was given out up to this version of the object;
    /// `None` if neither a record nor a revision tells one.
    pub(super) fn known_fencing(&self) -> Option<u64> {
        match &self.record {
            Some(record) => Some(record.fencing),
            None => Some(StoreRevision::of(&self.version).to_bits()).filter(|bits| *bits > 0),
        }
    }
}

/// The object as last read or written.
#[derive(Clone, Debug)]
pub(super) struct ObservedLease {
    /// The object; `None` if it does not exist.
    pub object: Option<LeaseObject>,
    /// When this content was first observed.
    pub since: Timestamp,
}

impl ObservedLease {
    /// The record, if the object exists and has one.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.object.as_ref()?.record.as_ref()
    }
}
