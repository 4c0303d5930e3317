//! Plans which cache blocks an engine imports from and exports to a store.

use std::net::SocketAddr;

use crate::cache::{
    BlockKey, Held, Operation, PrefixKeys, TOKENS_PER_BLOCK, grant, token_estimate,
};
use crate::caller::attempt::Attempt;
use crate::caller::{ChatRequest, Shared, Work, WorkKind};
use crate::clock::unix_ms;
use crate::decide::reuse::{
    BlockRange, PromptShape, StoreState, TargetState, plan_export, plan_import,
};
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
    /// Chooses the usable store that keeps the prompts of a first block, by rendezvous hashing.
    pub fn choose(
        &self,
        first: &BlockKey,
        usable: impl Fn(&StorePeer) -> bool,
    ) -> Option<&StorePeer> {
        self.0.iter().filter(|s| usable(s)).max_by_key(|store| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(first.as_bytes());
            hasher.update(store.name.as_bytes());
            *hasher.finalize().as_bytes()
        })
    }
}

/// Plans the cache transfers of one attempt; `None` for requests without whole blocks.
pub(crate) async fn plan_cache(shared: &Shared, work: &Work, attempt: &Attempt) -> Option<KvPlan> {
    let WorkKind::Chat(chat) = &work.kind else {
        return None;
    };
    let planner = Planner::new(shared, work, attempt, chat);
    let first = planner.keys.first()?;
    let stores = shared.stores.load();
    let usable = |s: &StorePeer| !shared.reuse.is_store_silent(s.address);
    let store = stores.choose(first, usable).map(|s| s.address);
    let plan = planner.plan(store).await;
    shared.reuse.placed(&attempt.target, &plan.keys);
    Some(plan)
}

struct Planner<'a> {
    shared: &'a Shared,
    work: &'a Work,
    attempt: &'a Attempt,
    keys: Vec<BlockKey>,
    shape: PromptShape,
    target: TargetState,
    block_bytes: u64,
}

impl<'a> Planner<'a> {
    fn new(shared: &'a Shared, work: &'a Work, attempt: &'a Attempt, chat: &ChatRequest) -> Self {
        let (customer, weights) = (&work.customer, &attempt.weights);
        let prompt = &chat.prompt;
        let prefix = PrefixKeys::derive(&shared.secret, customer, weights, &chat.adapter, prompt);
        let shape = PromptShape {
            tokens: token_estimate(prompt.len()),
            blocks: u32::try_from(prefix.len()).unwrap_or(u32::MAX),
        };
        let targets = shared.targets.load();
        let report = targets.get(&attempt.target).map(|t| &t.report);
        let target = TargetState {
            held: shared.reuse.held(&attempt.target, &prefix.keys),
            prefill_rate: report.map_or(0, |r| r.prefill_rate),
            queued_tokens: report.map_or(0, |r| r.queued_tokens),
        };
        Self {
            shared,
            work,
            attempt,
            keys: prefix.keys,
            shape,
            target,
            block_bytes: report.map_or(0, |r| r.block_bytes),
        }
    }

    async fn plan(self, store: Option<SocketAddr>) -> KvPlan {
        let mut plan = KvPlan {
            block_tokens: TOKENS_PER_BLOCK,
            keys: Vec::new(),
            import: None,
            export: None,
        };
        if let Some(address) = store {
            self.plan_transfers(address, &mut plan).await;
        }
        plan.keys = self.keys;
        plan
    }

    async fn plan_transfers(&self, address: SocketAddr, plan: &mut KvPlan) {
        let visit = self.shared.reuse.visit(&self.work.customer, &self.keys);
        let Some(held) = self.ask(address).await else {
            return;
        };
        let store = StoreState {
            held: held.blocks,
            queue_bytes: held.queue_bytes,
            link_rate: held.link_bytes_per_second,
            block_bytes: match self.block_bytes {
                0 => held.block_bytes,
                reported => reported,
            },
        };
        let weights = self.work.policy.weights;
        let import = plan_import(self.shape, self.target, store, weights);
        // An engine fetches only what it misses: granting what it likely holds moves nothing when
        // that is right, and saves the prefill when the engine has forgotten it, unless computing
        // would then be cheaper.
        let likely = self.target.held.min(store.held);
        let forgotten = TargetState {
            held: 0,
            ..self.target
        };
        let from_start = plan_import(self.shape, forgotten, store, weights);
        let import = match from_start {
            Some(range) if range.end() >= likely => {
                let end = import.map_or(0, |r| r.end()).max(likely);
                BlockRange::between(0, end)
            }
            _ => import,
        };
        plan.import = import.and_then(|r| self.grant(Operation::Read, address, r));
        if self.attempt.number > 1 {
            return;
        }
        let export = plan_export(self.shape, self.target, store, weights, &visit);
        if let Some(range) = export {
            plan.export = self.grant(Operation::Write, address, range);
            self.shared.reuse.exported(self.keys_of(range));
        }
    }

    async fn ask(&self, store: SocketAddr) -> Option<Held> {
        let _span = self.shared.spans.start(&self.work.trace, "store");
        let (client, customer) = (&self.shared.store_client, &self.work.customer);
        let held = client.held(store, customer, &self.keys, PROBE_BUDGET).await;
        self.shared.reuse.store_answered(store, held.is_some());
        held
    }

    fn keys_of(&self, range: BlockRange) -> &[BlockKey] {
        let (first, end) = (range.first as usize, range.end() as usize);
        &self.keys[first..end.min(self.keys.len())]
    }

    fn grant(
        &self,
        operation: Operation,
        store: SocketAddr,
        range: BlockRange,
    ) -> Option<KvTransfer> {
        let keys = self.keys_of(range);
        let lifetime = self.work.time_left() + TICKET_MARGIN;
        let lifetime = u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX);
        let expires_ms = unix_ms().saturating_add(lifetime);
        let (secret, customer) = (&self.shared.secret, &self.work.customer);
        let granted = grant(
            secret,
            operation,
            store,
            customer,
            range.first,
            keys,
            expires_ms,
        );
        (!keys.is_empty()).then_some(granted)
    }
}
