//! LRU cache of prompt blocks.

use std::collections::{BTreeMap, HashMap};

use guavahold::prefix_keys::BlockKey;

/// Keys of the cached prompt blocks; the least recently used are evicted first.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    use_count: u64,
    last_use: HashMap<BlockKey, u64>,
    by_last_use: BTreeMap<u64, BlockKey>,
}

impl PrefixCache {
    /// Creates an empty cache of at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            use_count: 0,
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Number of leading `keys` that are cached; marks these blocks as used.
    pub fn touch_cached_prefix(&mut self, keys: &[BlockKey]) -> usize {
        let cached = keys.iter().take_while(|k| self.last_use.contains_key(*k));
        let cached = cached.count();
        // The first block is shared by the most prompts, so it becomes the most recently used.
        for key in keys[..cached].iter().rev() {
            self.touch(*key);
        }
        cached
    }

    /// Inserts blocks and evicts the least recently used ones beyond the capacity.
    pub fn insert(&mut self, keys: &[BlockKey]) {
        for key in keys.iter().rev() {
            self.touch(*key);
        }
        while self.last_use.len() > self.capacity {
            let Some((_, key)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_use.remove(&key);
        }
    }

    fn touch(&mut self, key: BlockKey) {
        self.use_count += 1;
        if let Some(old) = self.last_use.insert(key, self.use_count) {
            self.by_last_use.remove(&old);
        }
        self.by_last_use.insert(self.use_count, key);
    }
}
