//! Runs of consecutive blocks.

use serde::{Deserialize, Serialize};

/// A run of consecutive blocks of one prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockRange {
    /// Index of the first block.
    pub first: u32,
    /// Number of blocks, at least one.
    pub count: u32,
}

impl BlockRange {
    /// The blocks from `first` up to `end`; `None` when there are none.
    #[must_use]
    pub fn between(first: u32, end: u32) -> Option<Self> {
        let count = end.checked_sub(first).filter(|n| *n > 0)?;
        Some(Self { first, count })
    }

    /// Index behind the last block.
    #[must_use]
    pub fn end(&self) -> u32 {
        self.first + self.count
    }
}
