//! Which blocks are also kept in memory.

use crate::prelude::*;
use crate::store::index::block::Life;
use crate::store::index::{Effect, Generation, Index};

impl Index {
    /// Keeps the bytes of a readable block in memory in place of less valuable ones.
    pub(super) fn cache(&mut self, now: Stamp, generation: Generation, effects: &mut Vec<Effect>) {
        let Some(block) = self.blocks.get(&generation) else {
            return;
        };
        let (bytes, value) = (block.info.bytes, self.value(now, block));
        let fits = block.life == Life::Held && bytes <= self.cfg.memory_bytes;
        if !fits || self.cached.contains(generation) {
            return;
        }
        while self.usage.memory + bytes > self.cfg.memory_bytes {
            let mut rng = self.rng.clone();
            let victim = self.cached.lowest(&mut rng, |g| {
                let block = &self.blocks[&g];
                Some(self.value(now, block))
            });
            self.rng = rng;
            let victim = victim.expect("memory in use holds a block");
            if self.value(now, &self.blocks[&victim]) > value {
                return;
            }
            self.uncache(victim, effects);
        }
        self.cached.insert(generation);
        self.usage.memory += bytes;
        effects.push(Effect::Cache { generation });
    }

    pub(super) fn uncache(&mut self, generation: Generation, effects: &mut Vec<Effect>) {
        if self.cached.remove(generation) {
            self.usage.memory -= self.blocks[&generation].info.bytes;
            effects.push(Effect::Uncache { generation });
        }
    }
}
