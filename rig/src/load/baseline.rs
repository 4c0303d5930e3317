//! Plain routers to compare with; they have no entry and no queue of their own.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use guavahold::cache::{
    BlockKey, Operation, PrefixKeys, Secret, StoreClient, TOKENS_PER_BLOCK, Ticket,
};
use guavahold::clock::unix_ms;
use guavahold::prelude::Name;
use guavahold::target::{BlockGrant, KvPlan, KvTransfer};
use serde_json::Value;

use crate::bench::Bench;
use crate::engine::prompt_text;

/// Longest wait for a store's word on which blocks it holds.
const PROBE_BUDGET: Duration = Duration::from_millis(100);
/// Lifetime of tickets.
const TICKET_MS: u64 = 120_000;

/// Which router serves the load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Baseline {
    /// The system's entries and stores.
    #[default]
    System,
    /// The system's entries without a store.
    SystemWithoutStore,
    /// The engine with the fewest requests in flight; no store.
    LeastLoaded,
    /// The engine that rendezvous hashing of the first block names; no store.
    Affinity,
    /// As `Affinity`, with every held block fetched from a store and every other block sent to it.
    AlwaysFetch,
}

impl Baseline {
    const ALL: [(&'static str, Self); 5] = [
        ("system", Self::System),
        ("system-without-store", Self::SystemWithoutStore),
        ("least-loaded", Self::LeastLoaded),
        ("affinity", Self::Affinity),
        ("always-fetch", Self::AlwaysFetch),
    ];

    /// Whether stores run.
    #[must_use]
    pub fn has_store(self) -> bool {
        matches!(self, Self::System | Self::AlwaysFetch)
    }

    /// Whether requests go through entries.
    #[must_use]
    pub fn has_entries(self) -> bool {
        matches!(self, Self::System | Self::SystemWithoutStore)
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
    stores: Vec<(Name, SocketAddr)>,
    secret: Secret,
    client: StoreClient,
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
        let stores = bench.stores.iter();
        Self {
            baseline,
            seats: bench.engines.iter().map(seat).collect(),
            stores: stores.map(|s| (s.vm.name.clone(), s.vm.address)).collect(),
            secret: bench.secret().clone(),
            client: StoreClient::new(bench.secret().clone(), Duration::from_millis(500)),
        }
    }

    /// Chooses an engine and adds the transfers to `body`.
    pub(crate) async fn route(&self, customer: &Name, body: &mut Value) -> Option<InFlight> {
        let prompt = prompt_text(body);
        let keys = PrefixKeys::derive(&self.secret, customer, "w1", "", prompt.as_bytes());
        let model = body["model"].as_str().unwrap_or_default();
        let seats = self.seats.iter().filter(|s| &*s.serves == model);
        let seat = match self.baseline {
            Baseline::LeastLoaded => {
                seats.min_by_key(|s| (s.in_flight.load(Ordering::Relaxed), fastrand::u32(..)))
            }
            _ => seats.max_by_key(|s| weight(&keys.affinity(), &s.name)),
        };
        let seat = seat?.clone();
        seat.in_flight.fetch_add(1, Ordering::Relaxed);
        let in_flight = InFlight(seat);
        let plan = self.plan(customer, keys.keys).await;
        body["kv"] = serde_json::to_value(plan).ok()?;
        Some(in_flight)
    }

    async fn plan(&self, customer: &Name, keys: Vec<BlockKey>) -> KvPlan {
        let mut plan = KvPlan {
            block_tokens: TOKENS_PER_BLOCK,
            keys,
            ..KvPlan::default()
        };
        if self.baseline != Baseline::AlwaysFetch || plan.keys.is_empty() {
            return plan;
        }
        let store = self
            .stores
            .iter()
            .max_by_key(|s| weight(&plan.keys[0], &s.0));
        let Some((_, store)) = store else { return plan };
        let held = self.client.held(*store, customer, &plan.keys, PROBE_BUDGET);
        let held = held.await.map_or(0, |h| h.blocks);
        let split = usize::try_from(held).unwrap_or(0).min(plan.keys.len());
        plan.import = self.transfer(*store, customer, Operation::Read, (&plan.keys[..split], 0));
        plan.export = self.transfer(
            *store,
            customer,
            Operation::Write,
            (&plan.keys[split..], split),
        );
        plan
    }

    fn transfer(
        &self,
        store: SocketAddr,
        customer: &Name,
        operation: Operation,
        (keys, first): (&[BlockKey], usize),
    ) -> Option<KvTransfer> {
        if keys.is_empty() {
            return None;
        }
        let expires = unix_ms() + TICKET_MS;
        let blocks = keys.iter().map(|key| BlockGrant {
            key: *key,
            ticket: Ticket::issue(&self.secret, operation, customer, key, expires).to_string(),
        });
        Some(KvTransfer {
            store,
            first: u32::try_from(first).ok()?,
            blocks: blocks.collect(),
        })
    }
}

fn weight(key: &BlockKey, name: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(name.as_bytes());
    *hasher.finalize().as_bytes()
}
