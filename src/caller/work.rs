//! One caller's request as it passes through the entry.

use std::str::FromStr;
use std::time::Instant;

use http_types::Method;

use crate::caller::ChatRequest;
use crate::catalog::Policy;
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::telemetry::TraceContext;

/// Hexadecimal digits of a run id: 128 bits.
const RUN_ID_DIGITS: usize = 32;

/// Identity of one run at a target, not guessable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RunId(Name);

impl RunId {
    /// Makes a new id.
    #[must_use]
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().simple().to_string().into())
    }

    /// The id's text.
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

/// What is asked of a target.
#[derive(Clone, Debug)]
pub enum WorkKind {
    /// A chat completion of a model engine.
    Chat(ChatRequest),
    /// A call of a plain service.
    Service {
        /// Method.
        method: Method,
        /// Path and query behind the service's name.
        path: String,
        /// Content type of the body, when given.
        content_type: Option<Name>,
        /// The caller's idempotency key, passed on when given.
        key: Option<Name>,
        /// The body.
        body: Vec<u8>,
    },
}

/// A checked request.
#[derive(Clone, Debug)]
pub struct Work {
    /// Customer.
    pub customer: Name,
    /// Model or service.
    pub serves: Name,
    /// Serving policy.
    pub policy: Arc<Policy>,
    /// What is asked.
    pub kind: WorkKind,
    /// Hash of customer, route and body.
    pub fingerprint: BlockKey,
    /// Trace of the request.
    pub trace: TraceContext,
    /// Time of arrival.
    pub arrived: Instant,
}

impl Work {
    /// Hashes customer, route and body.
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
