//! Accepted notes, as they are stored in the platform for the history.

use serde::{Deserialize, Serialize};

use crate::catalog::ReleaseNote;

/// An accepted note and its inverse.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoteRecord {
    /// The accepted note.
    pub note: ReleaseNote,
    /// Note that undoes it, written against the revision that it created; `None` if the catalog
    /// before it was not known.
    pub undo: Option<ReleaseNote>,
}
