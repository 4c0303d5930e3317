//! Baseline routers to compare the system with; they have neither entries nor queues.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use guavahold::prefix_keys::{BlockKey, PrefixKeys, TOKENS_PER_BLOCK};
use guavahold::prelude::Name;
use guavahold::secret::Secret;
use guavahold::target::PromptBlocks;
use serde_json::Value;

use crate::engine::prompt_text;
use crate::local_system::LocalSystem;

/// Router through which the load reaches the engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouterKind {
    /// The system's entries.
    #[default]
    System,
    /// The engine with the fewest requests in flight.
    LeastLoaded,
    /// The engine chosen by rendezvous hashing of the first block.
    Affinity,
}

impl RouterKind {
    const ALL: [(&'static str, Self); 3] = [
        ("system", Self::System),
        ("least-loaded", Self::LeastLoaded),
        ("affinity", Self::Affinity),
    ];

    /// Whether requests go through entries.
    #[must_use]
    pub fn uses_entries(self) -> bool {
        self == Self::System
    }

    /// Value of `--router`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(_, kind)| *kind == self)
            .map_or("", |(name, _)| name)
    }
}

impl FromStr for RouterKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().find(|(name, _)| *name == text);
        let names: Vec<&str> = Self::ALL.iter().map(|(name, _)| *name).collect();
        found
            .map(|(_, kind)| *kind)
            .ok_or_else(|| format!("expected one of {}", names.join(", ")))
    }
}

struct RoutedEngine {
    name: Name,
    serves: Name,
    address: SocketAddr,
    in_flight: AtomicUsize,
}

/// Routes chats directly to engines.
pub(crate) struct BaselineRouter {
    kind: RouterKind,
    engines: Vec<Arc<RoutedEngine>>,
    secret: Secret,
}

/// Counts a request as in flight at an engine until dropped.
pub(crate) struct InFlight(Arc<RoutedEngine>);

impl InFlight {
    pub(crate) fn address(&self) -> SocketAddr {
        self.0.address
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl BaselineRouter {
    pub(crate) fn new(kind: RouterKind, system: &LocalSystem) -> Self {
        let engine = |m: &crate::local_system::RunningStandIn<crate::Engine>| {
            Arc::new(RoutedEngine {
                name: m.vm.name.clone(),
                serves: m.vm.serves.clone(),
                address: m.vm.address,
                in_flight: AtomicUsize::new(0),
            })
        };
        Self {
            kind,
            engines: system.engines.iter().map(engine).collect(),
            secret: system.secret().clone(),
        }
    }

    /// Chooses an engine and adds the prompt's block keys to `body`; `None` if no engine
    /// serves the model.
    pub(crate) fn route(&self, customer: &Name, body: &mut Value) -> Option<InFlight> {
        let prompt = prompt_text(body);
        let keys = PrefixKeys::derive(&self.secret, customer, "w1", "", prompt.as_bytes());
        let model = body["model"].as_str().unwrap_or_default();
        let engines = self.engines.iter().filter(|e| &*e.serves == model);
        let engine = match self.kind {
            RouterKind::LeastLoaded => {
                engines.min_by_key(|e| (e.in_flight.load(Ordering::Relaxed), fastrand::u32(..)))
            }
            _ => engines.max_by_key(|e| rendezvous_score(&keys.affinity_key(), &e.name)),
        };
        let engine = engine?.clone();
        engine.in_flight.fetch_add(1, Ordering::Relaxed);
        let in_flight = InFlight(engine);
        let blocks = PromptBlocks {
            block_tokens: TOKENS_PER_BLOCK,
            keys: keys.keys,
        };
        body["kv"] = serde_json::to_value(blocks).ok()?;
        Some(in_flight)
    }
}

fn rendezvous_score(key: &BlockKey, name: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(name.as_bytes());
    *hasher.finalize().as_bytes()
}
