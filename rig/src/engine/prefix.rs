//! The prefix cache of an engine.

use std::collections::{BTreeMap, HashMap};

use guavahold::prefix_keys::BlockKey;

/// Blocks held, least recently used first out.
#[derive(Debug)]
pub struct PrefixCache {
    limit: usize,
    clock: u64,
    used: HashMap<BlockKey, u64>,
    order: BTreeMap<u64, BlockKey>,
}

impl PrefixCache {
    /// Makes an empty cache of at most `limit` blocks.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            clock: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Number of consecutive blocks held from the first key on; they count as used.
    pub fn hit(&mut self, keys: &[BlockKey]) -> usize {
        let held = keys.iter().take_while(|k| self.used.contains_key(*k));
        let held = held.count();
        // The first block is the most shared one and is touched last.
        for key in keys[..held].iter().rev() {
            self.touch(*key);
        }
        held
    }

    /// Inserts blocks and drops the least recently used beyond the limit.
    pub fn insert(&mut self, keys: &[BlockKey]) {
        for key in keys.iter().rev() {
            self.touch(*key);
        }
        while self.used.len() > self.limit {
            let Some((_, key)) = self.order.pop_first() else {
                return;
            };
            self.used.remove(&key);
        }
    }

    fn touch(&mut self, key: BlockKey) {
        self.clock += 1;
        if let Some(old) = self.used.insert(key, self.clock) {
            self.order.remove(&old);
        }
        self.order.insert(self.clock, key);
    }
}
