//! What the desk is told of a request.

use crate::cache::BlockKey;
use crate::catalog::{Class, Policy};
use crate::decide::Arrival;
use crate::gateway::Prompt;
use crate::gateway::attempt::Work;
use crate::gateway::shared::Shared;
use crate::prelude::*;

/// What the desk needs to know of a request.
pub(crate) fn arrival_of(shared: &Shared, work: &Work) -> Arrival {
    let route = &work.route;
    let customer = work.holder.as_ref().map(|h| h.customer.clone());
    let customer = customer.unwrap_or_default();
    let wait = work.time_left();
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let first = route.first_event_time().map(|t| t.as_millis());
    let first = first.and_then(|ms| u64::try_from(ms).ok());
    let urgency = work.holder.as_ref().and_then(|h| h.urgency);
    let policy = Policy {
        class: class_of(urgency.unwrap_or(route.urgency)),
        first_token_ms: first.unwrap_or(wait_ms).min(wait_ms),
        total_ms: wait_ms,
        idempotent: route.is_repeatable(),
        ..Policy::default()
    };
    let prompt = work.call.prompt.as_ref();
    let weights = prompt.map_or_else(SmallVec::new, |p| shared.versions.allowed(&p.model));
    let shared_part = prompt.and_then(Prompt::last_shared);
    let affinity = shared_part.map_or(&*work.call.id, |part| &*part.id);
    Arrival {
        id: shared.desk.next_id(),
        fingerprint: fingerprint(work, &customer),
        affinity: BlockKey::from_bytes(*blake3::hash(affinity.as_bytes()).as_bytes()),
        tokens: prompt.map_or(0, |p| p.input_tokens),
        shared_tokens: prompt.map_or(0, Prompt::shared_tokens),
        kept_tokens: weights
            .iter()
            .map(|w| kept_tokens(shared, work, w))
            .collect(),
        output_tokens: prompt.map_or(0, |p| p.output_tokens),
        weights,
        customer,
        serves: work.service.clone(),
        policy: Arc::new(policy),
        attempts: route.attempts,
        resumable: route.is_resumable(),
    }
}

/// Tokens of a prompt that a target with these weights can fetch from stores.
fn kept_tokens(shared: &Shared, work: &Work, weights: &str) -> u32 {
    let (Some(prompt), Some(version)) = (&work.call.prompt, version_of(weights)) else {
        return 0;
    };
    let scope = work.cache_scope(version);
    let (now, kept) = (shared.now(), shared.kept());
    let parts = prompt.shared_parts().iter();
    let whole = parts.take_while(|p| kept.holds(now, &scope, &p.id));
    whole.map(|p| p.tokens).sum()
}

fn class_of(urgency: u8) -> Class {
    match urgency {
        0 => Class::Interactive,
        1 => Class::Standard,
        _ => Class::Patient,
    }
}

/// Hash of customer, path and body.
fn fingerprint(work: &Work, customer: &str) -> BlockKey {
    let mut hasher = blake3::Hasher::new();
    for part in [customer, &*work.call.method, &*work.call.path] {
        hasher.update(part.as_bytes()).update(&[0]);
    }
    hasher.update(work.body.as_deref().unwrap_or_default());
    BlockKey::from_bytes(*hasher.finalize().as_bytes())
}

/// The number in a label of weights such as `model/3`.
pub(crate) fn version_of(label: &str) -> Option<u64> {
    label.rsplit_once('/')?.1.parse().ok()
}
