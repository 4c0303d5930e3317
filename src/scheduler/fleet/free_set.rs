//! Set of targets with room for a request.

use std::collections::HashMap;

use crate::scheduler::fleet::TargetIx;

/// A set of targets with constant-time insertion, removal and random choice.
#[derive(Debug, Default)]
pub(crate) struct FreeSet {
    items: Vec<TargetIx>,
    positions: HashMap<TargetIx, usize>,
}

impl FreeSet {
    /// Adds or removes a target.
    pub(crate) fn set(&mut self, ix: TargetIx, present: bool) {
        if present {
            self.insert(ix);
        } else {
            self.remove(ix);
        }
    }

    fn insert(&mut self, ix: TargetIx) {
        if self.positions.contains_key(&ix) {
            return;
        }
        self.positions.insert(ix, self.items.len());
        self.items.push(ix);
    }

    fn remove(&mut self, ix: TargetIx) {
        let Some(at) = self.positions.remove(&ix) else {
            return;
        };
        self.items.swap_remove(at);
        if let Some(moved) = self.items.get(at) {
            self.positions.insert(*moved, at);
        }
    }

    /// Whether the set has no target.
    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The targets of the set, in no particular order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = TargetIx> {
        self.items.iter().copied()
    }

    /// A random target of the set.
    pub(crate) fn random(&self, rng: &mut fastrand::Rng) -> Option<TargetIx> {
        (!self.items.is_empty()).then(|| self.items[rng.usize(..self.items.len())])
    }
}
