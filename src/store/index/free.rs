//! The way of a block's bytes off the disk.

use crate::cache::BlockKey;
use crate::store::index::block::Life;
use crate::store::index::{Effect, Generation, Index};

impl Index {
    /// Frees every generation of a block: no reader that comes later gets it, also after a crash.
    ///
    /// An evicted generation may be forgotten here while a power cut could still bring its file
    /// back, so that the removals of the key are synced in any case.
    pub(super) fn free(&mut self, key: &BlockKey, customer: &str, effects: &mut Vec<Effect>) {
        if self.readable(key, customer).is_some() {
            let generation = self.held[key];
            self.hide(generation, effects);
            self.block_mut(generation).life = Life::Retired;
        }
        let hidden = self.hidden.get(key).cloned().unwrap_or_default();
        for generation in hidden {
            if &*self.blocks[&generation].info.customer == customer {
                self.free_hidden(generation, effects);
            }
        }
        let synced = |e: &Effect| matches!(e, Effect::Remove { durable: true, .. });
        if !effects.iter().any(synced) {
            effects.push(Effect::Sync { key: *key });
        }
    }

    fn free_hidden(&mut self, generation: Generation, effects: &mut Vec<Effect>) {
        let block = self.block_mut(generation);
        match &mut block.life {
            Life::Staging { freed } => *freed = true,
            Life::Committing { freed } => {
                *freed = true;
                effects.push(Effect::Bury { generation });
            }
            Life::Retired if block.pins > 0 => effects.push(Effect::Bury { generation }),
            Life::Retired | Life::Removing | Life::Stuck => self.remove(generation, true, effects),
            Life::Held => unreachable!("a hidden block is not held"),
        }
    }

    pub(super) fn remove(
        &mut self,
        generation: Generation,
        durable: bool,
        effects: &mut Vec<Effect>,
    ) {
        let block = self.block_mut(generation);
        assert!(block.life != Life::Held, "removed a block that is held");
        assert!(block.pins == 0, "removed a block under its readers");
        let (first, stuck) = (block.life != Life::Removing, block.life == Life::Stuck);
        block.life = Life::Removing;
        let (key, bytes) = (block.info.key, block.info.bytes);
        let (customer, parent) = (block.info.customer.clone(), block.info.parent);
        if first {
            self.usage.disk -= bytes;
        }
        if let Some(parent) = parent.filter(|_| first && !stuck) {
            self.leave_parent(customer, parent);
        }
        effects.push(Effect::Remove {
            generation,
            key,
            durable,
        });
    }

    pub(super) fn removed(&mut self, generation: Generation) {
        let Some(block) = self.blocks.get(&generation) else {
            return;
        };
        match block.life {
            Life::Removing => {}
            Life::Stuck => self.usage.disk -= block.info.bytes,
            _ => unreachable!("only a block being removed is removed"),
        }
        let key = block.info.key;
        self.blocks.remove(&generation);
        let hidden = self.hidden.get_mut(&key).expect("it is hidden");
        hidden.retain(|g| *g != generation);
        if hidden.is_empty() {
            self.hidden.remove(&key);
        }
    }

    pub(super) fn remove_failed(&mut self, generation: Generation) {
        let Some(block) = self.blocks.get_mut(&generation) else {
            return;
        };
        if block.life == Life::Removing {
            block.life = Life::Stuck;
            self.usage.disk += block.info.bytes;
        }
    }

    pub(super) fn retry_removals(&mut self, effects: &mut Vec<Effect>) {
        let stuck = self.hidden.values().flatten().copied();
        let mut stuck: Vec<Generation> = stuck
            .filter(|g| self.blocks[g].life == Life::Stuck)
            .collect();
        stuck.sort_unstable();
        for generation in stuck {
            self.remove(generation, true, effects);
        }
    }
}

impl Index {
    /// Recomputes every sum and set from the blocks, for tests and replays.
    ///
    /// # Panics
    /// When one disagrees.
    pub fn check(&self) {
        let bytes_of = |f: &dyn Fn(Life, u32) -> bool| -> u64 {
            let blocks = self.blocks.values().filter(|b| f(b.life, b.pins));
            blocks.map(|b| b.info.bytes).sum()
        };
        let disk = bytes_of(&|life, _| life != Life::Removing);
        assert_eq!(self.usage.disk, disk, "bytes on disk");
        let evictable = bytes_of(&|life, pins| life == Life::Held && pins == 0);
        assert_eq!(self.usage.evictable, evictable, "evictable bytes");
        assert!(self.usage.memory <= self.cfg.memory_bytes, "memory budget");
        assert_eq!(self.held.len(), self.leaves.len() + self.inner.len());
        for (key, generation) in &self.held {
            let block = &self.blocks[generation];
            assert_eq!((block.life, &block.info.key), (Life::Held, key));
            let leaf = !self.has_children(*generation);
            assert_eq!(leaf, self.leaves.contains(*generation), "leaves");
        }
        let pins: u32 = self.blocks.values().map(|b| b.pins).sum();
        assert_eq!(u32::try_from(self.readers.len()).ok(), Some(pins), "pins");
    }
}
