//! Plans which cache blocks an engine imports from and exports to a store.

use std::net::SocketAddr;

use crate::cache::{Operation, PrefixKeys, TOKENS_PER_BLOCK, grant};
use crate::caller::{Shared, Work, WorkKind};
use crate::clock::unix_ms;
use crate::prelude::*;
use crate::target::{KvPlan, KvTransfer};

/// Longest wait for a store's word on which blocks it holds.
const PROBE_BUDGET: Duration = Duration::from_millis(20);
/// Lifetime of tickets beyond the request's own deadline.
const TICKET_MARGIN: Duration = Duration::from_mins(1);

/// A store VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StorePeer {
    /// Name.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Address of its blocks.
    pub address: SocketAddr,
}

/// Store VMs in use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreList(pub Vec<StorePeer>);

impl StoreList {
    /// Chooses the store that keeps the prompts of an affinity key, by rendezvous hashing.
    #[must_use]
    pub fn choose(&self, affinity: &[u8; 32]) -> Option<&StorePeer> {
        self.0.iter().max_by_key(|store| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(affinity);
            hasher.update(store.name.as_bytes());
            *hasher.finalize().as_bytes()
        })
    }
}

/// Plans the cache transfers of one attempt; `None` when there is nothing to move.
pub(crate) async fn plan_cache(shared: &Shared, work: &Work, weights: &str) -> Option<KvPlan> {
    let WorkKind::Chat(chat) = &work.kind else {
        return None;
    };
    let (customer, adapter) = (&work.customer, &chat.adapter);
    let prefix = PrefixKeys::derive(&shared.secret, customer, weights, adapter, &chat.prompt);
    let mut plan = KvPlan {
        block_tokens: TOKENS_PER_BLOCK,
        keys: prefix.keys,
        import: None,
        export: None,
    };
    let stores = shared.stores.load();
    let first = *plan.keys.first()?;
    let Some(store) = stores.choose(first.as_bytes()) else {
        return Some(plan);
    };
    let _span = shared.spans.start(&work.trace, "store");
    let held = shared
        .store_client
        .held(store.address, customer, &plan.keys, PROBE_BUDGET)
        .await;
    let Some(held) = held else {
        return Some(plan);
    };
    let split = usize::try_from(held.blocks).unwrap_or(usize::MAX);
    let split = split.min(plan.keys.len());
    let grants = Grants {
        shared,
        work,
        store: store.address,
    };
    plan.import = grants.transfer(Operation::Read, &plan, 0..split);
    plan.export = grants.transfer(Operation::Write, &plan, split..plan.keys.len());
    Some(plan)
}

struct Grants<'a> {
    shared: &'a Shared,
    work: &'a Work,
    store: SocketAddr,
}

impl Grants<'_> {
    fn transfer(
        &self,
        operation: Operation,
        plan: &KvPlan,
        range: std::ops::Range<usize>,
    ) -> Option<KvTransfer> {
        if range.is_empty() {
            return None;
        }
        let lifetime = self.work.time_left() + TICKET_MARGIN;
        let lifetime = u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX);
        let expires_ms = unix_ms().saturating_add(lifetime);
        let first = u32::try_from(range.start).ok()?;
        let (secret, customer) = (&self.shared.secret, &self.work.customer);
        let keys = &plan.keys[range];
        Some(grant(
            secret, operation, self.store, customer, first, keys, expires_ms,
        ))
    }
}
