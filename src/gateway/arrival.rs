//! Converts a request into the scheduler's description of it.

use crate::catalog::{Policy, PriorityClass};
use crate::gateway::Prompt;
use crate::gateway::admitted_request::AdmittedRequest;
use crate::gateway::shared::Shared;
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::scheduler::Arrival;

/// Describes a request to the scheduler; `software` is the version that must run it, if it goes on
/// with a stream.
pub(crate) fn arrival_of(
    shared: &Shared,
    request: &AdmittedRequest,
    software: Option<Name>,
) -> Arrival {
    let route = &request.route;
    let customer = request.holder.as_ref().map(|h| h.customer.clone());
    let customer = customer.unwrap_or_default();
    let wait = request.time_left();
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let first = route.first_event_timeout().map(|t| t.as_millis());
    let first = first.and_then(|ms| u64::try_from(ms).ok());
    let urgency = request.holder.as_ref().and_then(|h| h.urgency);
    let policy = Policy {
        class: class_of(urgency.unwrap_or(route.urgency)),
        first_token_ms: first.unwrap_or(wait_ms).min(wait_ms),
        total_ms: wait_ms,
        idempotent: route.is_repeatable(),
        ..Policy::default()
    };
    let prompt = request.head.prompt.as_ref();
    let weights = prompt.map_or_else(SmallVec::new, |p| shared.versions.allowed(&p.model));
    let shared_part = prompt.and_then(Prompt::last_shared);
    let stored: SmallVec<[StoredPrompt; 2]> = weights
        .iter()
        .map(|w| stored_prompt(shared, request, w))
        .collect();
    // Isolated customers share no cached context, so their prompts have places of their own.
    let scopes = shared.cache_scopes();
    let isolated = scopes.isolated_customer(request.holder.as_deref());
    let scope = isolated.map_or("", |customer| &**customer);
    let affinity = shared_part.map_or(&*request.head.id, |part| &*part.id);
    let affinity = format!("{affinity}{scope}");
    Arrival {
        id: shared.scheduler.next_id(),
        fingerprint: fingerprint(request, &customer),
        affinity: BlockKey::from_bytes(*blake3::hash(affinity.as_bytes()).as_bytes()),
        prompt_tokens: prompt.map_or(0, |p| p.input_tokens),
        shared_tokens: prompt.map_or(0, Prompt::shared_tokens),
        stored_tokens: stored.iter().map(|k| k.tokens).collect(),
        store_domain: stored.into_iter().find_map(|k| k.domain),
        output_tokens: prompt.map_or(0, |p| p.output_tokens),
        weights,
        customer,
        serves: request.service.clone(),
        policy: Arc::new(policy),
        max_attempts: route.max_attempts,
        resumable: route.is_resumable(),
        software,
        objective: route.latency_objective,
        allowed: request.allowed_targets().cloned(),
    }
}

/// The part of a prompt that a target with a given weight version can fetch from context stores.
#[derive(Default)]
struct StoredPrompt {
    tokens: u32,
    /// Failure domain of the store that holds the longest part.
    domain: Option<Name>,
}

fn stored_prompt(shared: &Shared, request: &AdmittedRequest, weights: &str) -> StoredPrompt {
    let (Some(prompt), Some(version)) = (&request.head.prompt, version_of(weights)) else {
        return StoredPrompt::default();
    };
    let scopes = shared.cache_scopes();
    let scope = scopes.scope(request.holder.as_deref(), version);
    let (now, directory) = (shared.now(), shared.store_directory());
    let allowed = request.allowed_targets();
    let mut stored = StoredPrompt::default();
    let mut longest = 0;
    for part in prompt.shared_parts() {
        let Some(domain) = directory.domain_of(now, &scope, &part.id, allowed) else {
            break;
        };
        stored.tokens += part.tokens;
        if part.tokens > longest {
            longest = part.tokens;
            stored.domain = Some(domain.clone());
        }
    }
    stored
}

fn class_of(urgency: u8) -> PriorityClass {
    match urgency {
        0 => PriorityClass::Interactive,
        1 => PriorityClass::Standard,
        _ => PriorityClass::Patient,
    }
}

/// Hash of customer, method, path and body.
fn fingerprint(request: &AdmittedRequest, customer: &str) -> BlockKey {
    let mut hasher = blake3::Hasher::new();
    for part in [customer, &*request.head.method, &*request.head.path] {
        hasher.update(part.as_bytes()).update(&[0]);
    }
    hasher.update(request.body.as_deref().unwrap_or_default());
    BlockKey::from_bytes(*hasher.finalize().as_bytes())
}

/// Parses the version in a weights label such as `model/3`.
pub(crate) fn version_of(label: &str) -> Option<u64> {
    label.rsplit_once('/')?.1.parse().ok()
}
