//! Accepted notes as the platform keeps them for the history.

use serde::{Deserialize, Serialize};

use crate::catalog::ReleaseNote;

/// An accepted note and the note that would have undone it at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptNote {
    /// The accepted note.
    pub note: ReleaseNote,
    /// Its inverse, where the catalog before it was known.
    pub undo: Option<ReleaseNote>,
}
