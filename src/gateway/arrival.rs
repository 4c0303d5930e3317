//! What the desk is told of a request.

use crate::catalog::{Policy, PriorityClass};
use crate::gateway::Prompt;
use crate::gateway::attempt::Work;
use crate::gateway::shared::Shared;
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::scheduler::Arrival;

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
    let kept: SmallVec<[Kept; 2]> = weights.iter().map(|w| kept_of(shared, work, w)).collect();
    let affinity = shared_part.map_or(&*work.call.id, |part| &*part.id);
    Arrival {
        id: shared.scheduler.next_id(),
        fingerprint: fingerprint(work, &customer),
        affinity: BlockKey::from_bytes(*blake3::hash(affinity.as_bytes()).as_bytes()),
        prompt_tokens: prompt.map_or(0, |p| p.input_tokens),
        shared_tokens: prompt.map_or(0, Prompt::shared_tokens),
        stored_tokens: kept.iter().map(|k| k.tokens).collect(),
        store_domain: kept.into_iter().find_map(|k| k.domain),
        output_tokens: prompt.map_or(0, |p| p.output_tokens),
        weights,
        customer,
        serves: work.service.clone(),
        policy: Arc::new(policy),
        max_attempts: route.attempts,
        resumable: route.is_resumable(),
    }
}

/// What a target with certain weights can fetch of a prompt from stores.
#[derive(Default)]
struct Kept {
    tokens: u32,
    /// Failure domain of the store that keeps the longest part.
    domain: Option<Name>,
}

fn kept_of(shared: &Shared, work: &Work, weights: &str) -> Kept {
    let (Some(prompt), Some(version)) = (&work.call.prompt, version_of(weights)) else {
        return Kept::default();
    };
    let scope = work.cache_scope(version);
    let (now, directory) = (shared.now(), shared.kept());
    let mut kept = Kept::default();
    let mut longest = 0;
    for part in prompt.shared_parts() {
        let Some(domain) = directory.domain_of(now, &scope, &part.id) else {
            break;
        };
        kept.tokens += part.tokens;
        if part.tokens > longest {
            longest = part.tokens;
            kept.domain = Some(domain.clone());
        }
    }
    kept
}

fn class_of(urgency: u8) -> PriorityClass {
    match urgency {
        0 => PriorityClass::Interactive,
        1 => PriorityClass::Standard,
        _ => PriorityClass::Patient,
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
