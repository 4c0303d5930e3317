//! What a target likely holds in its prefix cache.

use std::collections::{BTreeMap, HashMap};

use crate::cache::BlockKey;
use crate::prelude::*;
use crate::target::CacheEvent;

/// Age of own placements that outlive a gap in the events.
const SURE: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct Held {
    used: u64,
    at: Stamp,
}

/// What a target likely holds in its prefix cache, from its late and gapped events and from own
/// placements; the least recently used block is forgotten first.
#[derive(Debug)]
pub struct PrefixMemory {
    capacity: usize,
    held: HashMap<BlockKey, Held>,
    by_use: BTreeMap<u64, BlockKey>,
    uses: u64,
    next_seq: Option<u64>,
}

impl PrefixMemory {
    /// Makes a memory of at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            held: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            next_seq: None,
        }
    }

    /// Records that a prompt with these blocks was run at the target.
    pub fn placed(&mut self, now: Stamp, keys: &[BlockKey]) {
        // The end of a prompt is used last by the target and forgotten first here.
        for key in keys.iter().rev() {
            self.hold(now, *key);
        }
    }

    /// Takes an event of the target. After a gap only own recent placements are kept, since any
    /// other block may have been removed; an event that comes again or late only removes.
    pub fn event(&mut self, now: Stamp, event: &CacheEvent) {
        let expected = self.next_seq.unwrap_or(event.seq);
        if event.seq > expected {
            self.forget_unsure(now);
        }
        for key in &event.removed {
            self.forget(key);
        }
        if event.seq >= expected {
            for key in &event.stored {
                self.hold(now, *key);
            }
            self.next_seq = Some(event.seq + 1);
        }
    }

    /// Consecutive blocks that the target likely holds, from the first on.
    #[must_use]
    pub fn held(&self, keys: &[BlockKey]) -> u32 {
        let held = keys.iter().take_while(|key| self.held.contains_key(key));
        u32::try_from(held.count()).unwrap_or(u32::MAX)
    }

    /// Forgets everything, as after a restart of the target.
    pub fn clear(&mut self) {
        self.held.clear();
        self.by_use.clear();
        self.next_seq = None;
    }

    /// Number of blocks remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no block is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn hold(&mut self, now: Stamp, key: BlockKey) {
        self.forget(&key);
        self.uses += 1;
        let used = self.uses;
        self.held.insert(key, Held { used, at: now });
        self.by_use.insert(used, key);
        while self.held.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            self.held.remove(&oldest);
        }
    }

    fn forget(&mut self, key: &BlockKey) {
        if let Some(held) = self.held.remove(key) {
            self.by_use.remove(&held.used);
        }
    }

    fn forget_unsure(&mut self, now: Stamp) {
        let unsure = self.held.iter().filter(|(_, h)| h.at + SURE < now);
        let unsure: Vec<BlockKey> = unsure.map(|(key, _)| *key).collect();
        for key in unsure {
            self.forget(&key);
        }
    }
}
