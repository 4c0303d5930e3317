//! Stand-in for a model engine: continuous batching, a prefix cache and weight orders.

mod api;
mod execution;
mod job;
mod orders;
mod prefix_cache;
mod run;
mod settings;
mod text;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use guavahold::prelude::Name;
use guavahold::target::LoadReport;
use serde::Serialize;

use crate::semaphore::PrioritySemaphore;
use crate::{ActiveFaults, Spawner};

pub use orders::WeightStore;
pub use prefix_cache::PrefixCache;
pub use run::Run;
pub use settings::EngineSettings;
pub use text::{prompt_text, response_words};

/// Counters of one engine since its start, as returned by `/stats`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineStats {
    /// Runs started.
    pub runs: u64,
    /// Number of runs for each request id.
    pub by_request: HashMap<String, u64>,
    /// Prompt tokens of all runs.
    pub prompt_tokens: u64,
    /// Prompt tokens that were computed because the prefix cache did not hold them.
    pub computed_tokens: u64,
    /// Orders refused because of a stale fencing token.
    pub stale_orders: u64,
    /// Orders accepted.
    pub orders: u64,
}

/// Engine state shared by all requests.
#[derive(Debug)]
struct State {
    cache: PrefixCache,
    runs: HashMap<Name, Arc<Run>>,
    load: LoadReport,
    /// Recent load reports with the time at which each became current, oldest first.
    load_history: Vec<(Instant, LoadReport)>,
    stats: EngineStats,
}

/// A simulated model engine.
#[derive(Debug)]
pub struct Engine {
    cfg: EngineSettings,
    faults: ActiveFaults,
    state: Mutex<State>,
    slots: PrioritySemaphore,
    /// Lets one run at a time compute a prefill chunk.
    prefill_turn: PrioritySemaphore,
    spawner: Mutex<Spawner>,
}

impl Engine {
    /// Creates an engine that has the weight versions in `cfg` loaded.
    #[must_use]
    pub fn new(cfg: EngineSettings) -> Self {
        let load = LoadReport {
            slots: u32::try_from(cfg.slots).unwrap_or(u32::MAX),
            prefill_rate: cfg.prefill_rate,
            weights: cfg.weights.clone(),
            ..LoadReport::default()
        };
        let state = State {
            cache: PrefixCache::new(cfg.cache_blocks),
            runs: HashMap::new(),
            load_history: vec![(Instant::now(), load.clone())],
            load,
            stats: EngineStats::default(),
        };
        Self {
            faults: ActiveFaults::default(),
            state: Mutex::new(state),
            slots: PrioritySemaphore::new(cfg.slots),
            prefill_turn: PrioritySemaphore::new(1),
            spawner: Mutex::default(),
            cfg,
        }
    }

    /// Counters since the start of the engine.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        self.with_state(|s| s.stats.clone())
    }

    /// Empties the prefix cache.
    pub fn clear_cache(&self) {
        self.with_state(|s| s.cache = PrefixCache::new(self.cfg.cache_blocks));
    }

    /// Sets `leaving` in load reports and refuses new requests.
    pub fn start_leaving(&self) {
        self.update_load(|load| load.leaving = true);
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let spawner = self.spawner.lock().unwrap_or_else(PoisonError::into_inner);
        spawner.spawn(task);
    }

    /// Changes the load and records it, so that [`reported_load`](Self::reported_load) can lag.
    fn update_load(&self, f: impl FnOnce(&mut LoadReport)) {
        let lag = self.cfg.report_lag;
        self.with_state(|s| {
            f(&mut s.load);
            s.load_history.push((Instant::now(), s.load.clone()));
            let old = s
                .load_history
                .iter()
                .rposition(|(at, _)| at.elapsed() >= lag);
            s.load_history.drain(..old.unwrap_or(0));
        });
    }

    /// The load as it was `report_lag` ago.
    fn reported_load(&self) -> LoadReport {
        let lag = self.cfg.report_lag;
        self.with_state(|s| {
            let old = s.load_history.iter().rfind(|(at, _)| at.elapsed() >= lag);
            let old = old.or_else(|| s.load_history.first());
            old.map_or_else(|| s.load.clone(), |(_, load)| load.clone())
        })
    }
}

impl EngineStats {
    /// Adds another engine's counters.
    pub fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        for (id, runs) in &other.by_request {
            *self.by_request.entry(id.clone()).or_default() += runs;
        }
        self.prompt_tokens += other.prompt_tokens;
        self.computed_tokens += other.computed_tokens;
        self.stale_orders += other.stale_orders;
        self.orders += other.orders;
    }
}
