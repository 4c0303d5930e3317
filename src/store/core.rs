//! Joins the index with the folder, the memory and the link.

mod outcome;
mod read;
mod write;

use std::collections::HashMap;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::cache::BlockKey;
use crate::prelude::*;
use crate::settings::StoreSettings;
use crate::store::StoreMetrics;
use crate::store::disk::{Folder, Scan};
use crate::store::index::{Effect, Event, Generation, Index, IndexConfig, Rejection};
use crate::store::link::{PacerConfig, Throttle};
use crate::telemetry;

pub(crate) use outcome::{Fetched, PutOutcome};

/// Most transfers in flight at once, which bounds the work on the disk.
const IN_FLIGHT: usize = 64;
/// Longest predicted wait for the link with which a transfer is accepted.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Bytes of a block and their digest.
#[derive(Debug)]
pub(crate) struct Payload {
    pub(crate) digest: blake3::Hash,
    pub(crate) bytes: Vec<u8>,
}

#[derive(Debug)]
struct State {
    index: Index,
    memory: HashMap<Generation, Arc<Payload>>,
}

/// Shared state of a store; the index is entered by one thread at a time.
#[derive(Debug)]
pub(crate) struct Core {
    state: Mutex<State>,
    folder: Folder,
    pub(crate) throttle: Arc<Throttle>,
    pub(crate) metrics: Arc<StoreMetrics>,
    /// Set when an invariant of the index broke: nothing is served any more.
    broken: AtomicBool,
    began: Instant,
    next: AtomicU64,
}

impl Core {
    pub(crate) fn open(cfg: &StoreSettings, metrics: Arc<StoreMetrics>) -> io::Result<Self> {
        let (folder, scan) = Folder::open(&*cfg.folder)?;
        log_scan(&scan);
        let index_cfg = IndexConfig {
            disk_bytes: cfg.disk_bytes,
            memory_bytes: cfg.memory_bytes,
            seed: fastrand::u64(..),
        };
        let mut effects = Vec::new();
        let index = Index::recover(index_cfg, scan.first, scan.found, &mut effects);
        let throttle = Throttle::new(PacerConfig {
            bytes_per_second: cfg.link_bytes_per_second,
            in_flight_bytes: cfg.transfer_bytes,
            in_flight: IN_FLIGHT,
            max_wait: MAX_WAIT,
        });
        let core = Self {
            state: Mutex::new(State {
                index,
                memory: HashMap::new(),
            }),
            folder,
            throttle: Arc::new(throttle),
            metrics,
            broken: AtomicBool::new(false),
            began: Instant::now(),
            next: AtomicU64::new(0),
        };
        core.perform(&effects)?;
        core.show_usage(&core.lock());
        Ok(core)
    }

    /// Tells whether the store may serve.
    pub(crate) fn is_sound(&self) -> bool {
        !self.broken.load(Ordering::Acquire)
    }

    /// Lets the index decide on one event; blocks dropped from memory are dropped at once.
    pub(crate) fn apply(&self, event: Event) -> Vec<Effect> {
        self.apply_with(event, None)
    }

    fn apply_with(&self, event: Event, at_hand: Option<&Arc<Payload>>) -> Vec<Effect> {
        let mut state = self.lock();
        let mut effects = Vec::new();
        if !self.is_sound() {
            return effects;
        }
        let now = self.began.elapsed();
        let decide = AssertUnwindSafe(|| state.index.on(now, event, &mut effects));
        if catch_unwind(decide).is_err() {
            self.broken.store(true, Ordering::Release);
            self.metrics.invariants.inc();
            telemetry::event(log::Level::Error, "invariant_broken", &[]);
            return Vec::new();
        }
        effects.retain(|effect| match effect {
            Effect::Cache { generation } => {
                let payload = at_hand.expect("only bytes at hand are cached");
                state.memory.insert(*generation, payload.clone());
                false
            }
            Effect::Uncache { generation } => {
                state.memory.remove(generation);
                false
            }
            _ => true,
        });
        self.show_usage(&state);
        effects
    }

    /// Carries out removals, burials and syncs; blocks.
    ///
    /// # Errors
    /// The first error; a failed removal is tried again later.
    pub(crate) fn perform(&self, effects: &[Effect]) -> io::Result<()> {
        let mut outcome = Ok(());
        for effect in effects {
            let done = match effect {
                Effect::Remove {
                    generation,
                    key,
                    durable,
                } => self.remove(*generation, key, *durable),
                Effect::Bury { generation } => self.folder.bury(*generation),
                Effect::Sync { key } => self.folder.sync(key),
                _ => Ok(()),
            };
            if let Err(err) = done {
                self.fault("remove", &err);
                outcome = outcome.and(Err(err));
            }
        }
        outcome
    }

    fn remove(&self, generation: Generation, key: &BlockKey, durable: bool) -> io::Result<()> {
        let removed = self.folder.remove(generation, key, durable);
        let event = if removed.is_ok() {
            Event::Removed { generation }
        } else {
            Event::RemoveFailed { generation }
        };
        self.apply(event);
        removed
    }

    /// Why an upload would be refused.
    pub(crate) fn refusal(&self, key: &BlockKey, customer: &str, bytes: u64) -> Option<Rejection> {
        self.lock().index.refusal(key, customer, bytes)
    }

    /// Consecutive blocks held and their bytes.
    pub(crate) fn prefix(&self, customer: &Name, keys: &[BlockKey]) -> (u32, u64) {
        self.apply(Event::Chain {
            customer: customer.clone(),
            keys: keys.to_vec(),
        });
        self.lock().index.prefix(customer, keys)
    }

    /// Frees a block; it stays freed after a crash or power cut once this returns; blocks.
    ///
    /// # Errors
    /// When the disk could not be changed.
    pub(crate) fn free(&self, key: BlockKey, customer: Name) -> io::Result<()> {
        let effects = self.apply(Event::Free { key, customer });
        self.perform(&effects)
    }

    /// Tries failed removals again; blocks.
    pub(crate) fn tick(&self) {
        let effects = self.apply(Event::Tick);
        let _ = self.perform(&effects);
    }

    pub(crate) fn fault(&self, kind: &str, err: &dyn std::fmt::Display) {
        self.metrics.faults.with_label_values(&[kind]).inc();
        let fields: [(&str, &dyn std::fmt::Display); 2] = [("kind", &kind), ("error", err)];
        telemetry::event(log::Level::Warn, "store_fault", &fields);
    }

    fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    fn show_usage(&self, state: &State) {
        let usage = state.index.usage();
        let gauge = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        self.metrics.blocks.set(gauge(state.index.len() as u64));
        self.metrics.disk_bytes.set(gauge(usage.disk));
        self.metrics.memory_bytes.set(gauge(usage.memory));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_scan(scan: &Scan) {
    let found = scan.found.len();
    let fields: [(&str, &dyn std::fmt::Display); 4] = [
        ("found", &found),
        ("uncommitted", &scan.uncommitted),
        ("freed", &scan.freed),
        ("corrupt", &scan.corrupt),
    ];
    telemetry::event(log::Level::Info, "folder_read", &fields);
}
