//! Operations on a claim object and their results.

use serde::{Deserialize, Serialize};

use crate::claim::{Claim, ClaimError, ClaimKey, ClaimOutcome, ClaimRequest, ClaimVerdict};
use crate::prelude::*;

/// One operation on the object of a time bucket; applying it again changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimOp {
    /// Claim a key.
    Claim {
        /// Claimant, unique to each attempt.
        claimant: Name,
        /// The request.
        req: ClaimRequest,
        /// Earlier claimant for the same request whose claim may have been committed; it never
        /// dispatches, so its claim is released first.
        #[serde(default)]
        instead_of: Option<Name>,
    },
    /// Record the outcome of a claimed request.
    Settle {
        /// The claim.
        claim: Claim,
        /// Outcome of the request.
        outcome: ClaimOutcome,
    },
    /// Free a key whose request was not dispatched, and reject later claims by the same claimant.
    Release {
        /// The claim.
        claim: Claim,
    },
}

impl ClaimOp {
    /// Key that the operation applies to.
    #[must_use]
    pub fn key(&self) -> &ClaimKey {
        match self {
            Self::Claim { req, .. } => &req.key,
            Self::Settle { claim, .. } | Self::Release { claim } => &claim.key,
        }
    }
}

/// Result of one operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OpResult {
    /// Decision on a claim.
    Verdict(ClaimVerdict),
    /// No decision on the claim was reached.
    Failed(ClaimError),
    /// The claim is settled or released, or the operation no longer applied to it.
    #[serde(rename = "ended")]
    ClaimEnded,
}

/// Status of the process that holds a claim, as known to this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HolderStatus {
    /// It is alive and may not have had the time to record its outcomes: the platform is down or
    /// came back only recently, or this process itself still has to settle or release the claim.
    Recovering,
    /// It is alive.
    Live,
    /// It has no link to this entry; it may be dead, paused or partitioned.
    #[serde(rename = "silent")]
    Unreachable,
    /// It is this process, and no run is in progress or will start under the claim.
    #[serde(rename = "gone")]
    Abandoned,
}
