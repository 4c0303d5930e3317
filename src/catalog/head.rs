//! How the catalog is stored in the platform.
//!
//! A small head object holds the revision, the last notes and a reference to an immutable snapshot.
//! A watcher needs only the head if the head contains all notes that the watcher lacks; otherwise
//! it also reads the snapshot's parts.

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, ReleaseNote};
use crate::prelude::*;

/// Reference to an immutable snapshot in the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    /// Revision of the snapshot; zero stands for the empty catalog and has no objects.
    pub revision: u64,
    /// Identifier that the names of its parts contain.
    pub id: Name,
    /// Number of part objects `snapshot-{id}-{n}`; their texts, concatenated, are the catalog as
    /// JSON.
    pub parts: u32,
}

/// The head object; it is changed only by conditional updates.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogHead {
    /// Revision in force.
    pub revision: u64,
    /// Newest snapshot, at most [`CatalogHead::MAX_NOTES_SINCE_SNAPSHOT`] notes old.
    pub snapshot: SnapshotRef,
    /// Last notes, oldest first; the newest of them created `revision`.
    pub tail: Vec<ReleaseNote>,
    /// Snapshot before the newest; it is deleted when the next one is written.
    #[serde(rename = "retired", default)]
    pub previous_snapshot: SnapshotRef,
}

impl CatalogHead {
    /// Kind of the catalog's objects in the platform.
    pub const KIND: &'static str = "catalogs";
    /// Name of the head object.
    pub const NAME: &'static str = "head";
    /// Notes since the newest snapshot at most; the next note comes with a new snapshot.
    pub const MAX_NOTES_SINCE_SNAPSHOT: usize = 16;
    /// Notes left in the head when a new snapshot is written, so that watchers that are a few notes
    /// behind need not read the snapshot.
    pub const TAIL_AFTER_SNAPSHOT: usize = 4;
    /// Largest text of one snapshot part, in bytes; the platform accepts values up to a megabyte.
    pub const MAX_PART_BYTES: usize = 512 * 1024;

    /// Brings `catalog` to this head's revision; `None` when the tail does not reach back to the
    /// revision of `catalog`.
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

/// Catalog revision in force at one entry, for `guavahold status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRevision {
    /// Name of the entry VM.
    pub entry: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Revision in force at the entry.
    pub revision: u64,
    /// Time since it came into force, in milliseconds.
    pub since_ms: u64,
}
