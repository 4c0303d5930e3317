//! Operations on a shard's object.

use serde::{Deserialize, Serialize};

use crate::claim::{Claim, ClaimError, ClaimKey, ClaimOutcome, ClaimRequest, ClaimVerdict};
use crate::prelude::*;

/// One change asked of a shard's object; applying it again changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimOp {
    /// Claim a key.
    Claim {
        /// Claimant, different for each attempt.
        claimant: Name,
        /// The request.
        req: ClaimRequest,
        /// Earlier claimant of the same attempt, which never dispatches and whose claim may have
        /// been committed.
        #[serde(default)]
        instead_of: Option<Name>,
    },
    /// Record what became of a claim.
    Settle {
        /// The claim.
        claim: Claim,
        /// What became of it.
        outcome: ClaimOutcome,
    },
    /// Free a key whose request was not dispatched.
    Release {
        /// The claim.
        claim: Claim,
    },
}

impl ClaimOp {
    /// The key concerned.
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
    /// Decision about a claim.
    Verdict(ClaimVerdict),
    /// The claim was not decided; nothing was dispatched.
    Failed(ClaimError),
    /// The end of a claim is recorded or no longer matters.
    Ended,
}

/// What is known of the process that holds a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Holder {
    /// It answers, and had no time yet to record outcomes after an outage of the platform.
    Recovering,
    /// It answers.
    Live,
    /// It does not answer; it may be dead, paused or cut off.
    Silent,
    /// It is this very process, and no request is or will be dispatched under the claim.
    Gone,
}
