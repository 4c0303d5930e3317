//! What this entry remembers of prompts, targets' caches and stores.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::cache::BlockKey;
use crate::decide::reuse::{PrefixMemory, ReturnMemory, Visit};
use crate::prelude::*;
use crate::target::CacheEvent;

/// Blocks remembered of each target.
const BLOCKS_PER_TARGET: usize = 8_192;
/// Blocks whose returns are counted.
const RETURN_BLOCKS: usize = 262_144;
/// Time for which a store that gave no answer is passed over.
const STORE_PAUSE: Duration = Duration::from_secs(1);

/// Memories behind one lock, shared by traffic threads.
#[derive(Debug)]
pub struct ReuseMemory {
    started: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    targets: HashMap<Name, PrefixMemory>,
    next_event: HashMap<Name, u64>,
    returns: ReturnMemory,
    silent_stores: HashMap<SocketAddr, Stamp>,
}

impl Default for ReuseMemory {
    fn default() -> Self {
        Self::new()
    }
}

impl ReuseMemory {
    /// Makes an empty memory.
    #[must_use]
    pub fn new() -> Self {
        let state = State {
            targets: HashMap::new(),
            next_event: HashMap::new(),
            returns: ReturnMemory::new(RETURN_BLOCKS),
            silent_stores: HashMap::new(),
        };
        Self {
            started: Instant::now(),
            state: Mutex::new(state),
        }
    }

    /// Consecutive blocks that a target likely holds.
    #[must_use]
    pub fn held(&self, target: &str, keys: &[BlockKey]) -> u32 {
        let state = self.lock();
        state
            .targets
            .get(target)
            .map_or(0, |memory| memory.held(keys))
    }

    /// Counts a visit of a customer's prompt.
    #[must_use]
    pub fn visit(&self, customer: &Name, keys: &[BlockKey]) -> Visit {
        let now = self.started.elapsed();
        self.lock().returns.visit(now, customer, keys)
    }

    /// Records that the export of these blocks was planned.
    pub fn exported(&self, keys: &[BlockKey]) {
        let now = self.started.elapsed();
        self.lock().returns.exported(now, keys);
    }

    /// Records that a prompt was sent to a target.
    pub fn placed(&self, target: &Name, keys: &[BlockKey]) {
        let now = self.started.elapsed();
        let mut state = self.lock();
        let memory = state.targets.entry(target.clone());
        let memory = memory.or_insert_with(|| PrefixMemory::new(BLOCKS_PER_TARGET));
        memory.placed(now, keys);
    }

    /// Number of the cache event to ask a target for next.
    #[must_use]
    pub fn next_event(&self, target: &str) -> u64 {
        self.lock().next_event.get(target).copied().unwrap_or(0)
    }

    /// Takes cache events of a target.
    pub fn take_events(&self, target: &Name, events: &[CacheEvent]) {
        let now = self.started.elapsed();
        let mut state = self.lock();
        let Some(last) = events.last() else {
            return;
        };
        state.next_event.insert(target.clone(), last.seq + 1);
        let memory = state.targets.entry(target.clone());
        let memory = memory.or_insert_with(|| PrefixMemory::new(BLOCKS_PER_TARGET));
        for event in events {
            memory.event(now, event);
        }
    }

    /// Forgets targets that are no longer listed.
    pub fn retain(&self, listed: impl Fn(&str) -> bool) {
        let mut state = self.lock();
        state.targets.retain(|name, _| listed(name));
        state.next_event.retain(|name, _| listed(name));
    }

    /// Notes whether a store answered in time.
    pub fn store_answered(&self, store: SocketAddr, answered: bool) {
        let now = self.started.elapsed();
        let mut state = self.lock();
        if answered {
            state.silent_stores.remove(&store);
        } else {
            state.silent_stores.insert(store, now);
        }
    }

    /// Tells whether a store gave no answer a short time ago.
    #[must_use]
    pub fn is_store_silent(&self, store: SocketAddr) -> bool {
        let now = self.started.elapsed();
        let since = self.lock().silent_stores.get(&store).copied();
        since.is_some_and(|at| now < at + STORE_PAUSE)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
