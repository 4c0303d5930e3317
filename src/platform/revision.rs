//! Position in the history of a store that may be restored from an older copy.

use std::fmt;

use crate::platform::Version;

/// Bits that hold the revision within its era; the era has the others.
const REVISION_BITS: u32 = 40;

/// Era of a store that was never restored, if it states one.
const FIRST_ERA: u64 = 1;

/// Revision of a store together with the era in which the store gave it out. The era rises by one
/// each time the store is restored from an older copy, after which revisions are given out again.
/// Revisions are ordered by era first, so one of a later era is always greater. In a store that
/// states no era, the era is zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StoreRevision(u64);

impl StoreRevision {
    /// Combines an era and a revision within it.
    #[must_use]
    pub fn new(era: u64, number: u64) -> Self {
        let mask = (1 << REVISION_BITS) - 1;
        Self(era << REVISION_BITS | number & mask)
    }

    /// Reads a revision from its encoding as one integer.
    #[must_use]
    pub fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Encoding as one integer, with the same order; used between entries and as fencing token.
    #[must_use]
    pub fn to_bits(self) -> u64 {
        self.0
    }

    /// Era of the store.
    #[must_use]
    pub fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Whether the store was never restored from an older copy.
    #[must_use]
    pub fn is_of_first_era(self) -> bool {
        self.era() <= FIRST_ERA
    }

    /// Revision within the era, as the store states it.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }

    /// Reads a version of [`StoreRevision::to_version`]; zero for any other.
    #[must_use]
    pub fn of(version: &Version) -> Self {
        Self(version.0.parse().unwrap_or_default())
    }

    /// Opaque version of objects and listings.
    #[must_use]
    pub fn to_version(self) -> Version {
        Version(self.0.to_string())
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era(), self.number())
    }
}
