//! Names of objects that cannot be read, so that each is reported once.

use std::collections::BTreeSet;

use crate::gateway::WatchedKind;
use crate::prelude::*;

/// Most names that are kept of a kind; further ones are not reported.
const MAX_NAMES: usize = 1_000;
/// Most characters that are kept of a name that is too long.
const MAX_LONG_NAME: usize = 100;

/// Names of objects that cannot be read, by kind.
#[derive(Clone, Debug, Default)]
pub struct UnreadableNames {
    names: [BTreeSet<Name>; WatchedKind::ALL.len()],
    /// Beginnings of names that are too long for their objects to be kept.
    long_names: [BTreeSet<Name>; WatchedKind::ALL.len()],
    /// Whether there were objects without a name that can be read.
    has_unnamed: [bool; WatchedKind::ALL.len()],
}

impl UnreadableNames {
    /// Adds a name; returns whether it is to be reported.
    pub fn add(&mut self, watched: WatchedKind, name: &Name) -> bool {
        let names = &mut self.names[watched.index()];
        names.len() < MAX_NAMES && names.insert(name.clone())
    }

    /// Adds a name that is too long; returns whether it is to be reported. It is not forgotten: no kept
    /// object tells whether the store still has it.
    pub fn add_long(&mut self, watched: WatchedKind, name: &Name) -> bool {
        let names = &mut self.long_names[watched.index()];
        let start: String = name.chars().take(MAX_LONG_NAME).collect();
        names.len() < MAX_NAMES && names.insert(start.into())
    }

    /// Records objects without a name; returns whether they are to be reported, which is so for the
    /// first ones of a kind.
    pub fn add_unnamed(&mut self, watched: WatchedKind) -> bool {
        !std::mem::replace(&mut self.has_unnamed[watched.index()], true)
    }

    /// Forgets the names of a kind that are not among `names`: they can be read, or are gone.
    pub fn keep(&mut self, watched: WatchedKind, names: &BTreeSet<Name>) {
        self.names[watched.index()].retain(|name| names.contains(name));
    }
}
