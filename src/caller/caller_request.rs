//! A caller's request as it passes through the entry.

use std::str::FromStr;
use std::time::Instant;

use http_types::Method;

use crate::caller::ChatRequest;
use crate::catalog::Policy;
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::telemetry::TraceContext;

/// Length of a run id in hexadecimal digits: 128 bits.
const RUN_ID_DIGITS: usize = 32;

/// Random id of one run at a target, which cannot be guessed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RunId(Name);

impl RunId {
    /// Makes a new random id.
    #[must_use]
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().simple().to_string().into())
    }

    /// The id as hexadecimal digits.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for RunId {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let valid = text.len() == RUN_ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        valid.then(|| Self(text.into())).ok_or(())
    }
}

/// Kind of a request, with what only this kind has.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// A chat completion, served by a model engine.
    Chat(ChatRequest),
    /// A request to a plain service.
    Service {
        /// HTTP method.
        method: Method,
        /// Path and query after the service's name.
        path: String,
        /// Content type of the body, if given.
        content_type: Option<Name>,
        /// The caller's idempotency key, which is passed on if given.
        key: Option<Name>,
        /// Body, as received.
        body: Vec<u8>,
    },
}

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Name of the customer.
    pub customer: Name,
    /// Name of the model or service that serves it.
    pub serves: Name,
    /// Policy of its model or route.
    pub policy: Arc<Policy>,
    /// Kind of the request, with its body.
    pub kind: RequestKind,
    /// Hash of customer, route and body.
    pub fingerprint: BlockKey,
    /// Trace context of the request.
    pub trace: TraceContext,
    /// Time of arrival.
    pub arrived: Instant,
}

impl CallerRequest {
    /// Hashes customer, route and body, each after its length.
    #[must_use]
    pub fn fingerprint(customer: &str, route: &str, body: &[u8]) -> BlockKey {
        let mut hasher = blake3::Hasher::new();
        for part in [customer.as_bytes(), route.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        BlockKey::from_bytes(*hasher.finalize().as_bytes())
    }

    /// Time left until the policy's total deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.policy.total().saturating_sub(self.arrived.elapsed())
    }
}
