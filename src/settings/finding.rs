//! Findings about an invalid document.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Position in a document; lines and columns are counted from one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Name of the document, usually its path.
    pub file: Name,
    /// Line number.
    pub line: usize,
    /// Column, in characters.
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Finding {
    /// Position of the value.
    #[serde(rename = "place")]
    pub position: Position,
    /// Path of the value, such as `listen.admin`.
    pub path: String,
    /// What is wrong and what is expected.
    pub detail: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.position, self.path, self.detail)
    }
}

/// All errors in a document, ordered by position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Returns whether there are no findings.
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
