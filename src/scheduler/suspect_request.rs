//! What entries tell each other about a request that crashes targets.

use serde::{Deserialize, Serialize};

use crate::prefix_keys::BlockKey;
use crate::prelude::*;

/// A request that is suspected of crashing the targets that run it, or that is quarantined for that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRequest {
    /// Fingerprint of the request.
    pub fingerprint: BlockKey,
    /// Targets that died while running it, before they began to answer.
    pub victims: Vec<Name>,
    /// Targets that died while they answered it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answering_victims: Vec<Name>,
    /// Remaining time of the quarantine; zero while the request is only suspected.
    pub ttl: Duration,
    /// Time since the latest of the targets died.
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    pub age: Duration,
}

impl SuspectRequest {
    /// A request with victims that had not begun to answer; `ttl` is the remaining time of its
    /// quarantine.
    #[must_use]
    pub fn new(fingerprint: BlockKey, victims: Vec<Name>, ttl: Duration) -> Self {
        Self {
            fingerprint,
            victims,
            answering_victims: Vec::new(),
            ttl,
            age: Duration::ZERO,
        }
    }

    /// Whether the request is only suspected, and all its victims died while they answered it.
    #[must_use]
    pub fn has_only_answering_victims(&self) -> bool {
        self.victims.is_empty() && !self.is_quarantined()
    }

    /// Whether the request is quarantined.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        !self.ttl.is_zero()
    }
}
