//! Which blocks are held, being written, pinned by readers or on their way out.
//!
//! The index decides; it does no input or output. A block is readable from the moment its commit
//! is confirmed until it is freed, evicted or found corrupt, and its bytes are removed only after
//! its last reader has let go of it.

mod block;
mod config;
mod effect;
mod event;
mod evict;
mod free;
mod memory;
mod profile;
mod sample;
mod upload;
mod value;

use std::collections::HashMap;

use block::{Block, Life};
use sample::SampleSet;
use value::ValueModel;

pub use block::{BlockInfo, Generation, ReaderId, UploadId};
pub use config::IndexConfig;
pub use effect::{Effect, Rejection};
pub use event::Event;

use crate::cache::BlockKey;
use crate::prelude::*;

/// Decision state of a store.
#[derive(Debug)]
pub struct Index {
    cfg: IndexConfig,
    /// Readable generation of each key.
    held: HashMap<BlockKey, Generation>,
    /// Generations of a key that are not readable but whose bytes may exist.
    hidden: HashMap<BlockKey, SmallVec<[Generation; 2]>>,
    blocks: HashMap<Generation, Block>,
    uploads: HashMap<UploadId, Generation>,
    readers: HashMap<ReaderId, Generation>,
    /// Number of a customer's blocks that name a key as their parent.
    children: HashMap<(Name, BlockKey), u32>,
    /// Readable blocks without children.
    leaves: SampleSet,
    /// Readable blocks with children.
    inner: SampleSet,
    /// Readable blocks whose bytes are in memory.
    cached: SampleSet,
    usage: Usage,
    values: ValueModel,
    rng: fastrand::Rng,
    next: u64,
}

/// Bytes by what may be done with them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes on disk, those being written included and those being removed not.
    pub disk: u64,
    /// Bytes of readable blocks that no reader has pinned.
    pub evictable: u64,
    /// Bytes in memory.
    pub memory: u64,
}

impl Index {
    /// Makes an empty index.
    #[must_use]
    pub fn new(cfg: IndexConfig) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(cfg.seed),
            cfg,
            held: HashMap::new(),
            hidden: HashMap::new(),
            blocks: HashMap::new(),
            uploads: HashMap::new(),
            readers: HashMap::new(),
            children: HashMap::new(),
            leaves: SampleSet::default(),
            inner: SampleSet::default(),
            cached: SampleSet::default(),
            usage: Usage::default(),
            values: ValueModel::default(),
            next: 0,
        }
    }

    /// Rebuilds the index from the blocks whose commit record was found after a start.
    ///
    /// The newest generation of a key wins; older ones are removed, and so is what exceeds the
    /// disk's budget. New generations count from `first`, or from behind the newest one found.
    pub fn recover(
        cfg: IndexConfig,
        first: Generation,
        found: impl IntoIterator<Item = (Generation, BlockInfo)>,
        effects: &mut Vec<Effect>,
    ) -> Self {
        let mut index = Self::new(cfg);
        let mut found: Vec<_> = found.into_iter().collect();
        found.sort_by_key(|(generation, _)| std::cmp::Reverse(*generation));
        let behind = found.first().map_or(0, |(newest, _)| newest.0 + 1);
        index.next = behind.max(first.0);
        for (generation, info) in found {
            let duplicate = index.held.contains_key(&info.key);
            index.usage.disk += info.bytes;
            index.insert(generation, info, Life::Committing { freed: false });
            if duplicate {
                index.retire(generation, effects);
            } else {
                index.reveal(Stamp::ZERO, generation);
            }
        }
        index.make_room(Stamp::ZERO, 0, None, effects);
        index
    }

    /// Takes one event and appends what is to be done.
    pub fn on(&mut self, now: Stamp, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Begin { upload, block } => self.begin(now, upload, block, effects),
            Event::Staged { upload } => self.staged(upload, effects),
            Event::Failed { upload } => self.failed(upload, effects),
            Event::Committed { upload } => self.committed(now, upload, effects),
            Event::Pin {
                reader,
                key,
                customer,
            } => self.pin(now, reader, &key, &customer, effects),
            Event::Unpin { reader } => self.unpin(reader, effects),
            Event::Loaded { generation } => self.cache(now, generation, effects),
            Event::Corrupt { generation } => self.corrupt(generation, effects),
            Event::Free { key, customer } => self.free(&key, &customer, effects),
            Event::Removed { generation } => self.removed(generation),
            Event::RemoveFailed { generation } => self.remove_failed(generation),
            Event::Chain { customer, keys } => self.learn_chain(&customer, &keys),
            Event::Tick => self.retry_removals(effects),
        }
    }

    /// Counts the consecutive blocks of `keys` that `customer` may read, and their bytes.
    #[must_use]
    pub fn prefix(&self, customer: &str, keys: &[BlockKey]) -> (u32, u64) {
        let mut count = 0;
        let mut bytes = 0;
        for block in keys.iter().map_while(|key| self.readable(key, customer)) {
            count += 1;
            bytes += block.info.bytes;
        }
        (count, bytes)
    }

    /// Tells whether an upload of `key` would be refused before its bytes are sent.
    #[must_use]
    pub fn refusal(&self, key: &BlockKey, customer: &str, bytes: u64) -> Option<Rejection> {
        if let Some(generation) = self.held.get(key) {
            let owned = &*self.blocks[generation].info.customer == customer;
            return Some(if owned {
                Rejection::Held
            } else {
                Rejection::NotOwner
            });
        }
        let kept = self.usage.disk - self.usage.evictable;
        (kept.saturating_add(bytes) > self.cfg.disk_bytes).then_some(Rejection::Full)
    }

    /// Readable blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no block is readable.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Bytes in use.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.usage
    }

    fn pin(
        &mut self,
        now: Stamp,
        reader: ReaderId,
        key: &BlockKey,
        customer: &str,
        effects: &mut Vec<Effect>,
    ) {
        if self.readable(key, customer).is_none() {
            effects.push(Effect::Miss { reader });
            return;
        }
        let generation = self.held[key];
        let block = self.block_mut(generation);
        assert!(block.life == Life::Held, "served a block that is not held");
        block.pins += 1;
        let (newly_pinned, bytes) = (block.pins == 1, block.info.bytes);
        let age = now.saturating_sub(block.last_read);
        let reuse = block.reuse;
        block.last_read = now;
        block.reuse = reuse.saturating_add(1);
        if newly_pinned {
            self.usage.evictable -= bytes;
        }
        self.values.hit(customer, reuse, age);
        self.readers.insert(reader, generation);
        effects.push(Effect::Serve {
            reader,
            generation,
            cached: self.cached.contains(generation),
        });
    }

    fn unpin(&mut self, reader: ReaderId, effects: &mut Vec<Effect>) {
        let Some(generation) = self.readers.remove(&reader) else {
            return;
        };
        let block = self.block_mut(generation);
        assert!(block.pins > 0, "unpinned a block without readers");
        block.pins -= 1;
        if block.pins > 0 {
            return;
        }
        let bytes = block.info.bytes;
        match block.life {
            Life::Held => self.usage.evictable += bytes,
            Life::Retired => self.remove(generation, false, effects),
            _ => unreachable!("a pinned block is held or retired"),
        }
    }

    fn corrupt(&mut self, generation: Generation, effects: &mut Vec<Effect>) {
        let held = self.blocks.get(&generation).map(|b| b.life);
        if held == Some(Life::Held) {
            self.retire(generation, effects);
        }
    }

    fn readable(&self, key: &BlockKey, customer: &str) -> Option<&Block> {
        let block = &self.blocks[self.held.get(key)?];
        (&*block.info.customer == customer).then_some(block)
    }

    fn block_mut(&mut self, generation: Generation) -> &mut Block {
        let block = self.blocks.get_mut(&generation);
        block.expect("a generation in use is known")
    }

    fn insert(&mut self, generation: Generation, info: BlockInfo, life: Life) {
        let block = Block::new(info, life);
        let info = &block.info;
        self.hidden.entry(info.key).or_default().push(generation);
        if let Some(parent) = info.parent {
            self.join_parent(info.customer.clone(), parent);
        }
        self.blocks.insert(generation, block);
    }

    /// Makes a committed block readable.
    fn reveal(&mut self, now: Stamp, generation: Generation) {
        let block = self.block_mut(generation);
        block.life = Life::Held;
        block.last_read = now;
        let (key, bytes) = (block.info.key, block.info.bytes);
        let parent = block.info.parent;
        let returns = parent.and_then(|p| self.held.get(&p)).copied();
        if let Some(parent) = returns {
            // A prompt that came back before adds blocks that are likely to be read again.
            self.block_mut(generation).reuse = self.blocks[&parent].reuse;
        }
        let hidden = self.hidden.get_mut(&key).expect("a new block is hidden");
        hidden.retain(|g| *g != generation);
        if hidden.is_empty() {
            self.hidden.remove(&key);
        }
        let old = self.held.insert(key, generation);
        assert!(old.is_none(), "two readable generations of one block");
        self.usage.evictable += bytes;
        self.place_in_tree(&key);
    }

    /// Takes a readable or committed block out of reach; its bytes go after its last reader.
    fn retire(&mut self, generation: Generation, effects: &mut Vec<Effect>) {
        self.hide(generation, effects);
        let block = self.block_mut(generation);
        block.life = Life::Retired;
        if block.pins == 0 {
            self.remove(generation, false, effects);
        }
    }

    /// Unlinks a readable block from every lookup.
    fn hide(&mut self, generation: Generation, effects: &mut Vec<Effect>) {
        let block = &self.blocks[&generation];
        let (key, bytes, pins) = (block.info.key, block.info.bytes, block.pins);
        if block.life != Life::Held {
            return;
        }
        self.held.remove(&key);
        self.hidden.entry(key).or_default().push(generation);
        self.leaves.remove(generation);
        self.inner.remove(generation);
        self.uncache(generation, effects);
        if pins == 0 {
            self.usage.evictable -= bytes;
        }
    }

    /// Moves a readable block between leaves and inner blocks after its children changed.
    fn place_in_tree(&mut self, key: &BlockKey) {
        let Some(generation) = self.held.get(key).copied() else {
            return;
        };
        if self.has_children(generation) {
            self.leaves.remove(generation);
            self.inner.insert(generation);
        } else {
            self.inner.remove(generation);
            self.leaves.insert(generation);
        }
    }

    fn has_children(&self, generation: Generation) -> bool {
        let info = &self.blocks[&generation].info;
        self.children
            .contains_key(&(info.customer.clone(), info.key))
    }

    fn join_parent(&mut self, customer: Name, parent: BlockKey) {
        *self.children.entry((customer, parent)).or_default() += 1;
        self.place_in_tree(&parent);
    }

    fn leave_parent(&mut self, customer: Name, parent: BlockKey) {
        let entry = (customer, parent);
        let count = self.children.get_mut(&entry);
        let count = count.expect("a parent counts its children");
        *count -= 1;
        if *count == 0 {
            self.children.remove(&entry);
            self.place_in_tree(&parent);
        }
    }

    /// Links blocks to their parents in the order of a probed prefix.
    fn learn_chain(&mut self, customer: &str, keys: &[BlockKey]) {
        for pair in keys.windows(2) {
            let (parent, key) = (pair[0], pair[1]);
            let unlinked = self
                .readable(&key, customer)
                .is_some_and(|b| b.info.parent.is_none());
            if !unlinked || self.readable(&parent, customer).is_none() || parent == key {
                continue;
            }
            let generation = self.held[&key];
            self.block_mut(generation).info.parent = Some(parent);
            self.join_parent(customer.into(), parent);
        }
    }
}
