//! What makes room on disk.

use crate::cache::BlockKey;
use crate::prelude::*;
use crate::store::index::block::{Block, Life};
use crate::store::index::{Effect, Generation, Index};

impl Index {
    /// Evicts until `bytes` more fit on disk or nothing may be evicted; never `parent`, whose
    /// child is about to be written, while another block can go.
    pub(super) fn make_room(
        &mut self,
        now: Stamp,
        bytes: u64,
        parent: Option<BlockKey>,
        effects: &mut Vec<Effect>,
    ) {
        while self.usage.disk.saturating_add(bytes) > self.cfg.disk_bytes {
            let Some(victim) = self.victim(now, parent) else {
                return;
            };
            let block = &self.blocks[&victim];
            assert!(
                block.life == Life::Held && block.pins == 0,
                "evicted a block under its readers"
            );
            let age = now.saturating_sub(block.last_read);
            let (customer, reuse) = (block.info.customer.clone(), block.reuse);
            self.values.evicted(&customer, reuse, age);
            self.retire(victim, effects);
        }
    }

    /// The unpinned leaf of lowest value; an inner block only when there is no such leaf.
    fn victim(&mut self, now: Stamp, parent: Option<BlockKey>) -> Option<Generation> {
        let mut rng = self.rng.clone();
        let spare = |g: Generation| {
            let block = &self.blocks[&g];
            let free = block.pins == 0 && Some(block.info.key) != parent;
            free.then(|| self.value(now, block))
        };
        let any = |g: Generation| {
            let block = &self.blocks[&g];
            (block.pins == 0).then(|| self.value(now, block))
        };
        let found = self.leaves.lowest(&mut rng, spare);
        let found = found.or_else(|| self.inner.lowest(&mut rng, spare));
        let found = found.or_else(|| self.leaves.lowest(&mut rng, any));
        let found = found.or_else(|| self.inner.lowest(&mut rng, any));
        self.rng = rng;
        found
    }

    /// Expected reads per second and byte; zero for a block that its prefix no longer reaches.
    pub(super) fn value(&self, now: Stamp, block: &Block) -> f64 {
        let customer = &block.info.customer;
        let reachable = |parent| self.readable(&parent, customer).is_some();
        if !block.info.parent.is_none_or(reachable) {
            return 0.0;
        }
        let age = now.saturating_sub(block.last_read);
        let density = self.values.density(customer, block.reuse, age);
        #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52 bytes")]
        let bytes = block.info.bytes.max(1) as f64;
        density / bytes
    }
}
