//! Plain routers to compare with; they have no entry and no queue of their own.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use guavahold::prefix_keys::{BlockKey, PrefixKeys, TOKENS_PER_BLOCK};
use guavahold::prelude::Name;
use guavahold::secret::Secret;
use guavahold::target::PromptBlocks;
use serde_json::Value;

use crate::bench::Bench;
use crate::engine::prompt_text;

/// Which router serves the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Baseline {
    /// The system's entries.
    #[default]
    System,
    /// The engine with the fewest requests in flight.
    LeastLoaded,
    /// The engine that rendezvous hashing of the first block names.
    Affinity,
}

impl Baseline {
    const ALL: [(&'static str, Self); 3] = [
        ("system", Self::System),
        ("least-loaded", Self::LeastLoaded),
        ("affinity", Self::Affinity),
    ];

    /// Whether requests go through entries.
    #[must_use]
    pub fn has_entries(self) -> bool {
        self == Self::System
    }

    /// Name on the command line.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(_, b)| *b == self)
            .map_or("", |(name, _)| name)
    }
}

impl FromStr for Baseline {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().find(|(name, _)| *name == text);
        let names: Vec<&str> = Self::ALL.iter().map(|(name, _)| *name).collect();
        found
            .map(|(_, b)| *b)
            .ok_or_else(|| format!("expected one of {}", names.join(", ")))
    }
}

struct Seat {
    name: Name,
    serves: Name,
    address: SocketAddr,
    in_flight: AtomicUsize,
}

/// Routes chats straight to engines.
pub(crate) struct Router {
    baseline: Baseline,
    seats: Vec<Arc<Seat>>,
    secret: Secret,
}

/// A request in flight at an engine.
pub(crate) struct InFlight(Arc<Seat>);

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

impl Router {
    pub(crate) fn new(baseline: Baseline, bench: &Bench) -> Self {
        let seat = |m: &crate::bench::Member<crate::Engine>| {
            Arc::new(Seat {
                name: m.vm.name.clone(),
                serves: m.vm.serves.clone(),
                address: m.vm.address,
                in_flight: AtomicUsize::new(0),
            })
        };
        Self {
            baseline,
            seats: bench.engines.iter().map(seat).collect(),
            secret: bench.secret().clone(),
        }
    }

    /// Chooses an engine and adds the prompt's blocks to `body`.
    pub(crate) fn route(&self, customer: &Name, body: &mut Value) -> Option<InFlight> {
        let prompt = prompt_text(body);
        let keys = PrefixKeys::derive(&self.secret, customer, "w1", "", prompt.as_bytes());
        let model = body["model"].as_str().unwrap_or_default();
        let seats = self.seats.iter().filter(|s| &*s.serves == model);
        let seat = match self.baseline {
            Baseline::LeastLoaded => {
                seats.min_by_key(|s| (s.in_flight.load(Ordering::Relaxed), fastrand::u32(..)))
            }
            _ => seats.max_by_key(|s| weight(&keys.affinity_key(), &s.name)),
        };
        let seat = seat?.clone();
        seat.in_flight.fetch_add(1, Ordering::Relaxed);
        let in_flight = InFlight(seat);
        let blocks = PromptBlocks {
            block_tokens: TOKENS_PER_BLOCK,
            keys: keys.keys,
        };
        body["kv"] = serde_json::to_value(blocks).ok()?;
        Some(in_flight)
    }
}

fn weight(key: &BlockKey, name: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(name.as_bytes());
    *hasher.finalize().as_bytes()
}
