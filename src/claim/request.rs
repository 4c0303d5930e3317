//! Claim requests, decisions on them, and outcomes of claimed requests.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Identity of a non-idempotent request: the caller's idempotency key, scoped to its customer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Customer.
    pub customer: Name,
    /// The caller's idempotency key, a version 7 UUID whose timestamp selects the time bucket.
    pub key: uuid::Uuid,
}

/// A request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Identity of the request.
    pub key: ClaimKey,
    /// Digest of method, route and body, in hexadecimal; a key reused with another digest is
    /// rejected.
    pub digest: Name,
    /// How long the outcome is kept, counted from the key's timestamp.
    pub retention: Duration,
    /// Longest time from the claim to the end of the response; the request is not dispatched later.
    #[serde(rename = "total", default)]
    pub total_timeout: Duration,
}

/// A granted claim: the exclusive right of its claimant to dispatch the request once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Identity of the request.
    pub key: ClaimKey,
    /// Claimant that holds the claim, unique to each attempt.
    pub claimant: Name,
    /// How long the outcome is kept, counted from the key's timestamp.
    pub retention: Duration,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimOutcome {
    /// The target responded.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type of the response.
        content_type: Name,
        /// Body of the response; `None` when it was streamed, too large to keep, or not UTF-8.
        body: Option<String>,
    },
    /// The request may have run, but no complete response was received or its outcome was not
    /// recorded in time.
    Unknown,
}

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimVerdict {
    /// The claim is committed; the request may be dispatched once.
    Granted(Claim),
    /// Another attempt holds the claim and its outcome is not recorded yet.
    InProgress,
    /// An earlier attempt ended with this outcome.
    Settled(ClaimOutcome),
    /// The customer used the key for a request with another digest.
    Mismatch,
    /// The key's timestamp is older than accepted or too far in the future.
    OutOfWindow,
}

/// Why no decision on a claim was reached; the request was not dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimError {
    /// The platform is unavailable or too slow.
    PlatformDown {
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
    /// Too many operations are queued, claimants pending, or claims stored in the key's time bucket.
    Overloaded {
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::PlatformDown { .. } => "the platform does not answer",
            Self::Overloaded { .. } => "too many claims are waiting",
        })
    }
}

impl std::error::Error for ClaimError {}
