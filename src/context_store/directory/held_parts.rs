//! The parts that a context store holds.

use std::collections::HashMap;

use crate::context_store::{PartKey, StoreChange};
use crate::prelude::*;

/// Parts of one store with the tokens stored of each. A scope is kept once for all of its parts, and
/// given up with the last of them, so that nothing is left of a weight version whose parts are freed.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldParts {
    by_scope: HashMap<Name, HashMap<Name, u32>>,
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
            let parts = self.by_scope.entry(scope).or_default();
            return parts.insert(id, change.tokens);
        }
        let parts = self.by_scope.get_mut(&scope)?;
        let old = parts.remove(&id);
        if parts.is_empty() {
            self.by_scope.remove(&scope);
        }
        old
    }

    /// Forgets all parts.
    pub(super) fn clear(&mut self) {
        self.by_scope.clear();
    }

    /// Scope, identifier and tokens of all parts.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Name, &Name, u32)> {
        let scopes = self.by_scope.iter();
        scopes.flat_map(|(scope, parts)| parts.iter().map(move |(id, n)| (scope, id, *n)))
    }
}
