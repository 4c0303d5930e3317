//! A store index with a disk whose work is done later, out of order or never.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use guavahold::cache::BlockKey;
use guavahold::prelude::Name;
use guavahold::store::index::{
    BlockInfo, Effect, Event, Generation, Index, IndexConfig, ReaderId, UploadId,
};

use super::fake_disk::FakeDisk;

/// One step of a random run; numbers choose among what there is.
#[derive(Clone, Debug)]
pub enum Step {
    Begin {
        key: u8,
        customer: u8,
        parent: Option<u8>,
        bytes: u64,
    },
    Staged(usize),
    Fail(usize),
    Work(usize),
    FailRemoval(usize),
    Read {
        key: u8,
        customer: u8,
    },
    EndRead(usize),
    Corrupt(usize),
    Free {
        key: u8,
        customer: u8,
    },
    Chain(Vec<u8>),
    Kill,
    PowerCut(u64),
    Tick,
    Drain,
}

#[derive(Clone, Debug)]
struct Job {
    effect: Effect,
    /// Call of `free` that waits for it.
    free: Option<u64>,
}

#[derive(Debug)]
struct FreeCall {
    jobs: usize,
    covers: BTreeSet<Generation>,
}

pub struct World {
    index: Index,
    cfg: IndexConfig,
    disk: FakeDisk,
    now: Duration,
    next: u64,
    starts: u64,
    jobs: Vec<Job>,
    staging: Vec<(UploadId, Generation)>,
    begun: BTreeMap<UploadId, BlockInfo>,
    readers: BTreeMap<ReaderId, Generation>,
    /// Key and customer of the reader that asks now.
    asked: Option<(BlockKey, Name)>,
    /// Generations that existed when a free was called, by key and customer.
    existing: BTreeMap<Generation, (BlockKey, Name)>,
    frees: BTreeMap<u64, FreeCall>,
    /// Generations that must never be served any more in this process.
    unlinked: BTreeSet<Generation>,
    /// Generations that must never be served again, whatever happens.
    freed: BTreeSet<Generation>,
}

impl World {
    pub fn new(cfg: IndexConfig) -> Self {
        Self {
            index: Index::new(cfg),
            cfg,
            disk: FakeDisk::default(),
            now: Duration::ZERO,
            next: 0,
            starts: 0,
            jobs: Vec::new(),
            staging: Vec::new(),
            begun: BTreeMap::new(),
            readers: BTreeMap::new(),
            asked: None,
            existing: BTreeMap::new(),
            frees: BTreeMap::new(),
            unlinked: BTreeSet::new(),
            freed: BTreeSet::new(),
        }
    }

    pub fn step(&mut self, step: &Step) {
        self.now += Duration::from_millis(700);
        match step {
            Step::Begin {
                key,
                customer,
                parent,
                bytes,
            } => {
                let block = BlockInfo {
                    key: key_of(*key),
                    customer: customer_of(*customer),
                    parent: parent.map(key_of),
                    bytes: *bytes,
                };
                let upload = UploadId(self.number());
                self.begun.insert(upload, block.clone());
                self.on(Event::Begin { upload, block }, None);
            }
            Step::Staged(n) => {
                if let Some((upload, _)) = take(&mut self.staging, *n) {
                    self.on(Event::Staged { upload }, None);
                }
            }
            Step::Fail(n) => {
                if let Some((upload, _)) = take(&mut self.staging, *n) {
                    self.on(Event::Failed { upload }, None);
                }
            }
            Step::Work(n) => {
                if let Some(job) = take(&mut self.jobs, *n) {
                    self.work(job);
                }
            }
            Step::FailRemoval(n) => {
                let is_removal = |job: &Job| matches!(job.effect, Effect::Remove { .. });
                let picked = pick(&self.jobs, *n).is_some_and(is_removal);
                if picked && let Some(job) = take(&mut self.jobs, *n) {
                    self.fail_removal(&job);
                }
            }
            Step::Read { key, customer } => {
                let reader = ReaderId(self.number());
                let (key, customer) = (key_of(*key), customer_of(*customer));
                self.asked = Some((key, customer.clone()));
                self.on(
                    Event::Pin {
                        reader,
                        key,
                        customer,
                    },
                    None,
                );
            }
            Step::EndRead(n) => {
                let readers: Vec<_> = self.readers.keys().copied().collect();
                if let Some(reader) = pick(&readers, *n).copied() {
                    self.readers.remove(&reader);
                    self.on(Event::Unpin { reader }, None);
                }
            }
            Step::Corrupt(n) => {
                let readers: Vec<_> = self.readers.values().copied().collect();
                if let Some(generation) = pick(&readers, *n).copied() {
                    self.on(Event::Corrupt { generation }, None);
                    self.unlinked.insert(generation);
                }
            }
            Step::Free { key, customer } => self.free(key_of(*key), customer_of(*customer)),
            Step::Chain(keys) => {
                let keys = keys.iter().copied().map(key_of).collect();
                let customer = customer_of(0);
                self.on(Event::Chain { customer, keys }, None);
            }
            Step::Kill => self.restart(),
            Step::PowerCut(seed) => {
                let mut rng = fastrand::Rng::with_seed(*seed);
                self.disk.cut_power(|| rng.bool());
                self.restart();
            }
            Step::Tick => self.on(Event::Tick, None),
            Step::Drain => self.drain(),
        }
        self.index.check();
    }

    fn on(&mut self, event: Event, free: Option<u64>) {
        let mut effects = Vec::new();
        self.index.on(self.now, event, &mut effects);
        for effect in effects {
            self.take_effect(effect, free);
        }
    }

    fn take_effect(&mut self, effect: Effect, free: Option<u64>) {
        match effect {
            Effect::Stage { upload, generation } => {
                let info = self.begun[&upload].clone();
                let owner = (info.key, info.customer.clone());
                let old = self.existing.insert(generation, owner);
                assert!(old.is_none(), "a generation is used twice");
                self.disk.staging.insert(generation, info);
                self.staging.push((upload, generation));
            }
            Effect::Serve {
                generation, reader, ..
            } => {
                self.check_serve(generation);
                self.readers.insert(reader, generation);
            }
            Effect::Commit { .. }
            | Effect::Bury { .. }
            | Effect::Remove { .. }
            | Effect::Sync { .. } => {
                if let Some(call) = free.and_then(|id| self.frees.get_mut(&id)) {
                    call.jobs += 1;
                }
                self.jobs.push(Job { effect, free });
            }
            Effect::Reject { .. }
            | Effect::Stored { .. }
            | Effect::Miss { .. }
            | Effect::Cache { .. }
            | Effect::Uncache { .. } => {}
        }
    }

    fn check_serve(&self, generation: Generation) {
        let file = self.disk.committed.get(&generation);
        let file = file.map(|info| (info.key, info.customer.clone()));
        assert!(file.is_some(), "served without a commit");
        assert_eq!(file, self.asked, "served another block or customer's");
        assert!(!self.unlinked.contains(&generation), "served a freed block");
        assert!(
            !self.freed.contains(&generation),
            "served a block freed before a crash"
        );
    }

    fn work(&mut self, job: Job) {
        match job.effect {
            Effect::Commit { upload, generation } => {
                self.disk.commit(generation);
                self.on(Event::Committed { upload }, None);
            }
            Effect::Bury { generation } => {
                self.disk.tombstones.insert(generation);
            }
            Effect::Sync { .. } => self.disk.sync(),
            Effect::Remove {
                generation,
                durable,
                ..
            } => {
                let read = self.readers.values().any(|g| *g == generation);
                assert!(!read, "removed the bytes under a reader");
                self.disk.remove(generation, durable);
                self.on(Event::Removed { generation }, None);
            }
            other => unreachable!("not a job: {other:?}"),
        }
        let call = job.free.and_then(|id| self.frees.get_mut(&id));
        if let Some(call) = call {
            call.jobs -= 1;
            self.answer_frees();
        }
    }

    fn fail_removal(&mut self, job: &Job) {
        if let Effect::Remove { generation, .. } = job.effect {
            self.on(Event::RemoveFailed { generation }, None);
        }
        if let Some(id) = job.free {
            self.frees.remove(&id);
        }
    }

    fn free(&mut self, key: BlockKey, customer: Name) {
        let id = self.number();
        let owner = (key, customer.clone());
        let covers = self.existing.iter().filter(|(_, o)| **o == owner);
        let covers: BTreeSet<Generation> = covers.map(|(g, _)| *g).collect();
        self.unlinked.extend(&covers);
        self.frees.insert(id, FreeCall { jobs: 0, covers });
        self.on(Event::Free { key, customer }, Some(id));
        self.answer_frees();
    }

    /// Counts the calls of `free` whose work is done as answered.
    fn answer_frees(&mut self) {
        let freed = &mut self.freed;
        self.frees.retain(|_, call| {
            if call.jobs == 0 {
                freed.extend(&call.covers);
            }
            call.jobs > 0
        });
    }

    fn restart(&mut self) {
        let found = self.disk.restart();
        let mut effects = Vec::new();
        self.starts += 1;
        let first = Generation(self.starts << 40);
        self.index = Index::recover(self.cfg, first, found, &mut effects);
        self.jobs.clear();
        self.staging.clear();
        self.readers.clear();
        self.frees.clear();
        self.unlinked.clear();
        let left: BTreeSet<_> = self.disk.committed.keys().copied().collect();
        self.existing.retain(|g, _| left.contains(g));
        for effect in effects {
            self.take_effect(effect, None);
        }
    }

    /// Ends everything and checks that nothing is left over.
    fn drain(&mut self) {
        for _ in 0..3 {
            while !self.staging.is_empty() {
                self.step(&Step::Staged(0));
            }
            while !self.readers.is_empty() {
                self.step(&Step::EndRead(0));
            }
            while !self.jobs.is_empty() {
                self.step(&Step::Work(0));
            }
            self.step(&Step::Tick);
        }
        assert!(self.jobs.is_empty(), "work never ends");
        assert_eq!(self.index.usage().disk, self.disk.bytes(), "bytes leaked");
        assert!(
            self.disk.bytes() <= self.cfg.disk_bytes,
            "the disk is overfull"
        );
        assert_eq!(self.index.usage().evictable, self.index.usage().disk);
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

fn key_of(n: u8) -> BlockKey {
    BlockKey::from_bytes([n; 32])
}

fn customer_of(n: u8) -> Name {
    format!("customer-{n}").into()
}

fn pick<T>(list: &[T], n: usize) -> Option<&T> {
    list.get(n.checked_rem(list.len())?)
}

fn take<T>(list: &mut Vec<T>, n: usize) -> Option<T> {
    let at = n.checked_rem(list.len())?;
    Some(list.remove(at))
}
