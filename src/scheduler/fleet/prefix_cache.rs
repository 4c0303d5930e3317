//! The shared starts of prompts that a target is expected to have cached.

use std::collections::HashMap;

/// Use of one shared start.
#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: u32,
    /// Sequence number of its latest use.
    used: u64,
}

/// The shared starts of the prompts that were sent to one target, as a model of its cache: the least
/// recently used ones are dropped first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    prefixes: HashMap<u64, CachedPrefix>,
    tokens: u32,
    uses: u64,
    losses: u32,
}

impl PrefixCache {
    /// Whether the start with this placement hash is expected to be cached.
    pub(crate) fn contains(&self, key: u64) -> bool {
        self.prefixes.contains_key(&key)
    }

    /// Records that a prompt with this start was sent; drops others beyond `capacity` tokens.
    pub(crate) fn record_use(&mut self, key: u64, tokens: u32, capacity: u32) {
        self.uses += 1;
        let prefix = CachedPrefix {
            tokens,
            used: self.uses,
        };
        let old = self.prefixes.insert(key, prefix);
        let old_tokens = old.map_or(0, |old| old.tokens);
        self.tokens = (self.tokens + tokens).saturating_sub(old_tokens);
        while self.tokens > capacity && self.prefixes.len() > 1 {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.prefixes.iter().min_by_key(|(_, p)| p.used);
        if let Some(key) = oldest.map(|(key, _)| *key)
            && let Some(dropped) = self.prefixes.remove(&key)
        {
            self.tokens = self.tokens.saturating_sub(dropped.tokens);
        }
    }

    /// How often everything was forgotten.
    pub(crate) fn losses(&self) -> u32 {
        self.losses
    }

    /// Forgets everything, such as when the target loads other weights.
    pub(crate) fn clear(&mut self) {
        self.prefixes.clear();
        self.tokens = 0;
        self.losses = self.losses.wrapping_add(1);
    }
}
