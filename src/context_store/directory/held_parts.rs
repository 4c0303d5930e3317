//! The parts that a context store holds.

use std::collections::HashMap;

use crate::context_store::{PartKey, StoreChange};
use crate::prelude::*;

/// A part that is held.
#[derive(Clone, Copy, Debug)]
struct HeldPart {
    /// Tokens stored.
    tokens: u32,
    /// Number of full lists that were read before the part was last mentioned.
    lists_read: u32,
}

/// Parts of one store with the tokens stored of each. A scope is kept once for all of its parts, and
/// given up with the last of them, so that nothing is left of a weight version whose parts are freed.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldParts {
    by_scope: HashMap<Name, HashMap<Name, HeldPart>>,
    /// Number of full lists read, modulo 2^32.
    lists_read: u32,
}

impl HeldParts {
    /// Whether a part is held.
    pub(super) fn contains(&self, part: &PartKey) -> bool {
        let parts = self.by_scope.get(&part.scope);
        parts.is_some_and(|parts| parts.contains_key(&part.id))
    }

    /// Applies a change; returns the tokens that were stored of its part before, if any.
    pub(super) fn apply(&mut self, change: StoreChange) -> Option<u32> {
        let PartKey { scope, id } = change.part;
        if change.tokens > 0 {
            let held = HeldPart {
                tokens: change.tokens,
                lists_read: self.lists_read,
            };
            // A name that is known already stays where it is.
            let old = self.by_scope.entry(scope).or_default().insert(id, held);
            return old.map(|old| old.tokens);
        }
        let parts = self.by_scope.get_mut(&scope)?;
        let old = parts.remove(&id);
        if parts.is_empty() {
            self.by_scope.remove(&scope);
        }
        old.map(|old| old.tokens)
    }

    /// Replaces all parts by a full list. Names and tables of parts that were held before are kept: a
    /// second copy of a full store's contents would leave the heap in pieces.
    pub(super) fn replace(&mut self, list: Vec<StoreChange>) {
        self.lists_read = self.lists_read.wrapping_add(1);
        for change in list {
            self.apply(change);
        }
        let current = self.lists_read;
        self.by_scope.retain(|_, parts| {
            parts.retain(|_, part| part.lists_read == current);
            parts.shrink_to(parts.len() * 2);
            !parts.is_empty()
        });
    }

    /// Forgets all parts.
    pub(super) fn clear(&mut self) {
        self.by_scope.clear();
    }

    /// Tokens stored of all parts.
    pub(super) fn tokens(&self) -> u32 {
        self.iter()
            .fold(0, |sum, (_, _, tokens)| sum.saturating_add(tokens))
    }

    /// Scope, identifier and tokens of all parts.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Name, &Name, u32)> {
        let scopes = self.by_scope.iter();
        scopes
            .flat_map(|(scope, parts)| parts.iter().map(move |(id, part)| (scope, id, part.tokens)))
    }
}
