//! Description of a request for the scheduler of a failure domain.

use serde::{Deserialize, Serialize};

use crate::catalog::{Policy, PriorityClass};
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::residency::AllowedDomains;
use crate::scheduler::{Arrival, RequestId};

/// The parts of an [`Arrival`] that scheduling needs, under short keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RemoteArrival {
    /// Customer that sent it.
    #[serde(rename = "c")]
    pub customer: Name,
    /// Model or service that runs it.
    #[serde(rename = "s")]
    pub serves: Name,
    /// Weight versions that may run it, preferred first.
    #[serde(rename = "w")]
    pub weights: SmallVec<[Name; 2]>,
    /// Priority class.
    #[serde(rename = "p")]
    pub class: PriorityClass,
    /// Time left until the first token, in milliseconds.
    #[serde(rename = "f")]
    pub first_token_ms: u64,
    /// Time left until the end of the answer, in milliseconds.
    #[serde(rename = "e")]
    pub total_ms: u64,
    /// Whether it may run more than once.
    #[serde(rename = "u")]
    pub idempotent: bool,
    /// Fingerprint of customer, route and body.
    #[serde(rename = "k")]
    pub fingerprint: BlockKey,
    /// Placement key of the prompt's start.
    #[serde(rename = "a")]
    pub affinity: BlockKey,
    /// Prompt tokens.
    #[serde(rename = "n")]
    pub prompt_tokens: u32,
    /// Prompt tokens that other requests start with too.
    #[serde(rename = "h", default)]
    pub shared_tokens: u32,
    /// Shared tokens in context stores, for each of the weight versions.
    #[serde(rename = "t", default)]
    pub stored_tokens: SmallVec<[u32; 2]>,
    /// Failure domain of the store that holds most of them.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub store_domain: Option<Name>,
    /// Most tokens that may be generated.
    #[serde(rename = "o", default)]
    pub output_tokens: u32,
    /// Most attempts.
    #[serde(rename = "m", default)]
    pub max_attempts: u32,
    /// Whether another target may continue a stream that broke off.
    #[serde(rename = "r", default)]
    pub resumable: bool,
    /// Software version that must run the request.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub software: Option<Name>,
    /// Latency objective, in milliseconds; zero for none.
    #[serde(rename = "l", default)]
    pub objective_ms: u64,
    /// Failure domains whose targets may run it; missing for all, and from entries of earlier
    /// builds.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub allowed: Option<AllowedDomains>,
}

impl From<&Arrival> for RemoteArrival {
    fn from(arrival: &Arrival) -> Self {
        Self {
            customer: arrival.customer.clone(),
            serves: arrival.serves.clone(),
            weights: arrival.weights.clone(),
            class: arrival.policy.class,
            first_token_ms: arrival.policy.first_token_ms,
            total_ms: arrival.policy.total_ms,
            idempotent: arrival.policy.idempotent,
            fingerprint: arrival.fingerprint,
            affinity: arrival.affinity,
            prompt_tokens: arrival.prompt_tokens,
            shared_tokens: arrival.shared_tokens,
            stored_tokens: arrival.stored_tokens.clone(),
            store_domain: arrival.store_domain.clone(),
            output_tokens: arrival.output_tokens,
            max_attempts: arrival.max_attempts,
            resumable: arrival.resumable,
            software: arrival.software.clone(),
            objective_ms: u64::try_from(arrival.objective.as_millis()).unwrap_or(u64::MAX),
            allowed: arrival.allowed.clone(),
        }
    }
}

impl RemoteArrival {
    /// The arrival under a number of the receiving scheduler.
    #[must_use]
    pub fn into_arrival(self, id: RequestId) -> Arrival {
        Arrival {
            id,
            customer: self.customer,
            serves: self.serves,
            weights: self.weights,
            policy: Arc::new(Policy {
                class: self.class,
                first_token_ms: self.first_token_ms,
                total_ms: self.total_ms,
                idempotent: self.idempotent,
                ..Policy::default()
            }),
            fingerprint: self.fingerprint,
            affinity: self.affinity,
            prompt_tokens: self.prompt_tokens,
            shared_tokens: self.shared_tokens,
            stored_tokens: self.stored_tokens,
            store_domain: self.store_domain,
            output_tokens: self.output_tokens,
            max_attempts: self.max_attempts,
            resumable: self.resumable,
            software: self.software,
            objective: Duration::from_millis(self.objective_ms),
            allowed: self.allowed,
        }
    }
}
