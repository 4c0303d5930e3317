//! Claims, their verdicts and outcomes.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Identity of a non-idempotent request: the caller's idempotency key within its customer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Customer.
    pub customer: Name,
    /// The caller's key, a UUID of version 7.
    pub key: uuid::Uuid,
}

/// A request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Identity of the request.
    pub key: ClaimKey,
    /// Digest of method, route and body, as hexadecimal digits; a key reused for another request
    /// is refused.
    pub digest: Name,
    /// How long the outcome is kept after the key's own time.
    pub retention: Duration,
    /// Longest time from the claim to the end of the answer; no dispatch happens later.
    #[serde(default)]
    pub total: Duration,
}

/// A granted claim: permission for its holder alone to dispatch the request once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Identity of the request.
    pub key: ClaimKey,
    /// Entry and attempt that hold the claim.
    pub claimant: Name,
    /// How long the outcome is kept after the key's own time.
    pub retention: Duration,
}

/// What became of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimOutcome {
    /// The target answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type of the answer.
        content_type: Name,
        /// The answer, when small enough to keep.
        body: Option<String>,
    },
    /// The target received the request and no whole answer came back.
    Unknown,
}

/// Decision about a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimVerdict {
    /// The claim is committed; the request may be dispatched once.
    Granted(Claim),
    /// Another attempt holds the claim and its outcome is not recorded yet.
    InProgress,
    /// The request was run before.
    Settled(ClaimOutcome),
    /// The key belongs to another request of this customer.
    Mismatch,
    /// The key's own time is older than the retention or too far ahead.
    OutOfWindow,
}

/// Why no decision about a claim was reached; the request was not dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimError {
    /// The platform is down or too slow.
    PlatformDown {
        /// When to come back.
        retry_after: Duration,
    },
    /// The claim table is full for now.
    Overloaded {
        /// When to come back.
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
