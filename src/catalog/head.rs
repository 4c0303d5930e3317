//! How the catalog is kept in the platform.
//!
//! One small head object holds the revision, the last notes and the name of an immutable snapshot.
//! A watcher that is at most [`CatalogHead::TAIL`] notes behind needs the head alone; only others
//! read the snapshot's parts.

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, ReleaseNote};
use crate::prelude::*;

/// An immutable snapshot in the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    /// Revision of the snapshot; zero stands for the empty catalog and has no objects.
    pub revision: u64,
    /// Identity shared by the names of its parts.
    pub id: Name,
    /// Number of part objects `snapshot-{id}-{n}`; their texts joined are the catalog's JSON.
    pub parts: u32,
}

/// The head object, changed only by conditional update.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogHead {
    /// Revision in force.
    pub revision: u64,
    /// Newest snapshot, at most [`CatalogHead::TAIL`] notes old.
    pub snapshot: SnapshotRef,
    /// Last notes, oldest first; the newest makes `revision`.
    pub tail: Vec<ReleaseNote>,
    /// Snapshot before the newest; collected when the next one is written.
    #[serde(default)]
    pub retired: SnapshotRef,
}

impl CatalogHead {
    /// Kind of the catalog's objects in the platform.
    pub const KIND: &'static str = "catalogs";
    /// Name of the head object.
    pub const NAME: &'static str = "head";
    /// Most notes kept in the head.
    pub const TAIL: usize = 16;
    /// Notes left in the head when a new snapshot is written, for watchers that lag a little.
    pub const KEPT: usize = 4;
    /// Longest text of one snapshot part, in bytes; the platform holds values up to a megabyte.
    pub const PART_BYTES: usize = 512 * 1024;

    /// Brings `catalog` to this head's revision; `None` when the tail does not reach back to it.
    #[must_use]
    pub fn advance(&self, catalog: &Arc<Catalog>) -> Option<Arc<Catalog>> {
        if catalog.revision >= self.revision {
            return Some(catalog.clone());
        }
        let mut next = catalog.clone();
        for note in self.tail.iter().filter(|n| n.against >= catalog.revision) {
            next = Arc::new(next.apply(note).ok()?);
        }
        (next.revision == self.revision).then_some(next)
    }
}

/// What one entry has in force, for `guavahold status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Name of the entry VM.
    pub entry: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Revision in force there.
    pub revision: u64,
    /// Time since it came into force, in milliseconds.
    pub since_ms: u64,
}
