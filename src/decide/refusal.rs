//! Reasons for which a request is refused.

use serde::{Deserialize, Serialize};

use crate::http::RunState;
use crate::prelude::*;

/// Why a request is refused; each knows whether the request was run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The queue of the customer or model is full.
    Overloaded {
        /// When to come back.
        retry_after: Duration,
    },
    /// The deadline cannot be met.
    DeadlineUnreachable {
        /// When to come back.
        retry_after: Duration,
    },
    /// No live target serves the model or service.
    NoTarget {
        /// When to come back.
        retry_after: Duration,
    },
    /// The request takes down the targets that run it.
    Quarantined {
        /// When to come back.
        retry_after: Duration,
        /// Whether an attempt of this very request reached a target.
        run: RunState,
    },
    /// Attempts failed and no further one is allowed.
    Failed {
        /// Whether a target may have run the request.
        run: RunState,
        /// When to come back.
        retry_after: Duration,
    },
    /// The entry is shutting down.
    Draining {
        /// When to come back.
        retry_after: Duration,
    },
}

impl Refusal {
    /// Whether the request was run.
    #[must_use]
    pub fn run(&self) -> RunState {
        match self {
            Self::Quarantined { run, .. } | Self::Failed { run, .. } => *run,
            _ => RunState::NotRun,
        }
    }

    /// When to come back.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::Overloaded { retry_after }
            | Self::DeadlineUnreachable { retry_after }
            | Self::NoTarget { retry_after }
            | Self::Quarantined { retry_after, .. }
            | Self::Failed { retry_after, .. }
            | Self::Draining { retry_after } => *retry_after,
        }
    }

    /// Stable code for callers.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Overloaded { .. } => "overloaded",
            Self::DeadlineUnreachable { .. } => "deadline-unreachable",
            Self::NoTarget { .. } => "no-target",
            Self::Quarantined { .. } => "quarantined",
            Self::Failed { .. } => "target-failed",
            Self::Draining { .. } => "draining",
        }
    }
}
