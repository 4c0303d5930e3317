//! Findings of a checked document.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Position in a document; lines and columns count from one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Name of the file.
    pub file: Name,
    /// Line.
    pub line: usize,
    /// Column in characters.
    pub column: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One thing wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Finding {
    /// Where it stands.
    pub place: Place,
    /// Path of the value, such as `listen.admin`.
    pub path: String,
    /// What is wrong and what would be right.
    pub detail: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.place, self.path, self.detail)
    }
}

/// Everything wrong with a document, in the order of its places.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Tells whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, finding) in self.0.iter().enumerate() {
            if n > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
