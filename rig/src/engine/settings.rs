//! Settings of the engine stand-in.

use std::sync::Arc;
use std::time::Duration;

use guavahold::prelude::Name;

use crate::engine::WeightStore;

/// Settings of an [`Engine`](crate::Engine).
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the VM.
    pub name: Name,
    /// Model served.
    pub model: Name,
    /// Weight versions loaded at the start.
    pub weights: Vec<Name>,
    /// Maximum number of concurrent runs.
    pub slots: usize,
    /// Prompt tokens computed per second.
    pub prefill_rate: u32,
    /// Time to generate one token.
    pub token_time: Duration,
    /// Tokens generated if the request sets no limit.
    pub default_tokens: u32,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Age of the state that load reports show.
    pub report_lag: Duration,
    /// Time to load a weight version.
    pub weight_load_time: Duration,
    /// Whether orders with a stale fencing token are refused.
    pub checks_fencing: bool,
    /// Time for which a run continues without a reader.
    pub orphan_timeout: Duration,
    /// Source from which weights are loaded.
    pub weight_store: Arc<WeightStore>,
}

impl EngineSettings {
    /// Creates settings with defaults for everything but name, model and weight version.
    #[must_use]
    pub fn new(name: impl Into<Name>, model: impl Into<Name>, weights: impl Into<Name>) -> Self {
        Self {
            name: name.into(),
            model: model.into(),
            weights: vec![weights.into()],
            slots: 8,
            prefill_rate: 40_000,
            token_time: Duration::from_millis(10),
            default_tokens: 16,
            cache_blocks: 64,
            report_lag: Duration::from_millis(200),
            weight_load_time: Duration::from_millis(1100),
            checks_fencing: true,
            orphan_timeout: Duration::from_secs(5),
            weight_store: Arc::new(WeightStore::new(3)),
        }
    }

    /// Sets the slots, the prefill rate in tokens per second and the time for each token.
    #[must_use]
    pub fn with_speed(mut self, slots: usize, prefill_rate: u32, token_time: Duration) -> Self {
        self.slots = slots;
        self.prefill_rate = prefill_rate;
        self.token_time = token_time;
        self
    }

    /// Sets the capacity of the prefix cache, in blocks.
    #[must_use]
    pub fn with_cache_blocks(mut self, blocks: usize) -> Self {
        self.cache_blocks = blocks;
        self
    }
}
