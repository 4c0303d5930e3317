//! Stand-in of a model engine: continuous batching, a prefix cache, KV transfers and orders.

mod api;
mod blocks;
mod job;
mod orders;
mod prefix;
mod run;
mod settings;
mod text;
mod work;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use guavahold::http::Pool;
use guavahold::prelude::Name;
use guavahold::target::{CacheEvent, LoadReport};
use serde::Serialize;

use crate::gate::Gate;
use crate::{FaultBox, Spawner};

pub use blocks::block_bytes;
pub use orders::WeightStore;
pub use prefix::PrefixCache;
pub use run::Run;
pub use settings::EngineSettings;
pub use text::{answer_words, prompt_text};

/// Longest time to connect to a store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// What an engine did so far.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineStats {
    /// Runs started.
    pub runs: u64,
    /// Runs by request id.
    pub by_request: HashMap<String, u64>,
    /// Prompt tokens of all runs.
    pub prompt_tokens: u64,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Prompt tokens imported.
    pub imported_tokens: u64,
    /// Bytes of blocks received.
    pub import_bytes: u64,
    /// Bytes of blocks sent.
    pub export_bytes: u64,
    /// Imports that failed and were computed.
    pub failed_imports: u64,
    /// Blocks received whose bytes are not those of their key; must stay zero.
    pub wrong_blocks: u64,
    /// Orders refused for an old fencing number.
    pub stale_orders: u64,
    /// Orders carried out.
    pub orders: u64,
}

/// State of an engine that requests share.
#[derive(Debug)]
struct State {
    cache: PrefixCache,
    runs: HashMap<Name, Arc<Run>>,
    events: Vec<CacheEvent>,
    load: LoadReport,
    /// Past reports with their times, oldest first.
    past: Vec<(Instant, LoadReport)>,
    stats: EngineStats,
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    cfg: EngineSettings,
    faults: FaultBox,
    state: Mutex<State>,
    slots: Gate,
    prefill: Gate,
    pool: Pool,
    spawner: Mutex<Spawner>,
}

impl Engine {
    /// Makes an engine that holds the first weight version.
    #[must_use]
    pub fn new(cfg: EngineSettings) -> Self {
        let load = LoadReport {
            slots: u32::try_from(cfg.slots).unwrap_or(u32::MAX),
            prefill_rate: cfg.prefill_rate,
            block_bytes: cfg.block_bytes as u64,
            weights: cfg.weights.clone(),
            ..LoadReport::default()
        };
        let state = State {
            cache: PrefixCache::new(cfg.cache_blocks),
            runs: HashMap::new(),
            events: Vec::new(),
            past: vec![(Instant::now(), load.clone())],
            load,
            stats: EngineStats::default(),
        };
        Self {
            faults: FaultBox::default(),
            state: Mutex::new(state),
            slots: Gate::new(cfg.slots),
            prefill: Gate::new(1),
            pool: Pool::new(CONNECT_TIMEOUT),
            spawner: Mutex::default(),
            cfg,
        }
    }

    /// What the engine did so far.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        self.with(|s| s.stats.clone())
    }

    /// Forgets every cached prefix.
    pub fn clear_cache(&self) {
        self.with(|s| s.cache = PrefixCache::new(self.cfg.cache_blocks));
    }

    /// Announces that the engine is leaving.
    pub fn leave(&self) {
        self.change_load(|load| load.leaving = true);
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let spawner = self.spawner.lock().unwrap_or_else(PoisonError::into_inner);
        spawner.spawn(task);
    }

    /// Changes the load and remembers it for reports that lag.
    fn change_load(&self, f: impl FnOnce(&mut LoadReport)) {
        let lag = self.cfg.report_lag;
        self.with(|s| {
            f(&mut s.load);
            s.past.push((Instant::now(), s.load.clone()));
            let old = s.past.iter().rposition(|(at, _)| at.elapsed() >= lag);
            s.past.drain(..old.unwrap_or(0));
        });
    }

    /// The load as it was one lag ago.
    fn lagged_load(&self) -> LoadReport {
        let lag = self.cfg.report_lag;
        self.with(|s| {
            let old = s.past.iter().rfind(|(at, _)| at.elapsed() >= lag);
            let old = old.or_else(|| s.past.first());
            old.map_or_else(|| s.load.clone(), |(_, load)| load.clone())
        })
    }
}

impl EngineStats {
    /// Adds another engine's figures.
    pub fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        for (id, runs) in &other.by_request {
            *self.by_request.entry(id.clone()).or_default() += runs;
        }
        self.prompt_tokens += other.prompt_tokens;
        self.computed_tokens += other.computed_tokens;
        self.imported_tokens += other.imported_tokens;
        self.import_bytes += other.import_bytes;
        self.export_bytes += other.export_bytes;
        self.failed_imports += other.failed_imports;
        self.wrong_blocks += other.wrong_blocks;
        self.stale_orders += other.stale_orders;
        self.orders += other.orders;
    }
}
