//! Bounded memory of the parts on which answers have begun.

use std::collections::HashSet;

use crate::prelude::*;

/// Parts in one generation; at most two generations are kept.
const GENERATION_SIZE: usize = 8_192;

/// The parts added last: at least the last 8,192, at most twice as many.
#[derive(Clone, Debug, Default)]
pub struct RecentParts {
    young: HashSet<Name>,
    old: HashSet<Name>,
}

impl RecentParts {
    /// Adds a part.
    pub fn insert(&mut self, part: &Name) {
        if self.young.contains(part) {
            return;
        }
        if self.young.len() >= GENERATION_SIZE {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(part.clone());
    }

    /// Whether a part is among them.
    #[must_use]
    pub fn contains(&self, part: &str) -> bool {
        self.young.contains(part) || self.old.contains(part)
    }

    /// Number of parts kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
