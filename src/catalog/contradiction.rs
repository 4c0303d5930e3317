//! Contradictions between a release note and the catalog that it changes.

use std::fmt;

use crate::prelude::*;

/// One contradiction, with the path of the value in the note that causes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contradiction {
    /// Keys from the note's root to the value; the last may be an element of a list.
    pub path: SmallVec<[Name; 4]>,
    /// What is wrong and what is expected.
    pub detail: String,
}

impl Contradiction {
    pub(crate) fn new(path: &[&str], detail: impl Into<String>) -> Self {
        Self {
            path: path.iter().map(|key| Name::from(*key)).collect(),
            detail: detail.into(),
        }
    }
}

impl fmt::Display for Contradiction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.join("."), self.detail)
    }
}

/// All contradictions of a note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contradictions(pub Vec<Contradiction>);

impl fmt::Display for Contradictions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, contradiction) in self.0.iter().enumerate() {
            if n > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{contradiction}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Contradictions {}
