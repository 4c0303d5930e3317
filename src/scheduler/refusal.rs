//! Reasons for refusing a request.

use serde::{Deserialize, Serialize};

use crate::http::RunState;
use crate::prelude::*;

/// Why a request is refused, when its caller may retry, and whether a target may have run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The queue of the model or service, or the customer's part of it, is full.
    Overloaded {
        /// Pause before the caller may retry.
        retry_after: Duration,
    },
    /// The first token cannot come before the deadline.
    DeadlineUnreachable {
        /// Pause before the caller may retry.
        retry_after: Duration,
    },
    /// No live target serves the model or service.
    NoTarget {
        /// Pause before the caller may retry.
        retry_after: Duration,
    },
    /// All targets that could run the request are in evacuated failure domains.
    Evacuated {
        /// Pause before the caller may retry.
        retry_after: Duration,
    },
    /// The request has crashed targets that ran it.
    Quarantined {
        /// Pause before the caller may retry.
        retry_after: Duration,
        /// Whether a target may have run this very request, not only equal ones.
        run: RunState,
    },
    /// Attempts failed and no further one is allowed.
    Failed {
        /// Whether a target may have run the request.
        run: RunState,
        /// Pause before the caller may retry.
        retry_after: Duration,
    },
    /// The entry is shutting down.
    Draining {
        /// Pause before the caller may retry.
        retry_after: Duration,
    },
}

impl Refusal {
    /// Whether a target has run the request.
    #[must_use]
    pub fn run(&self) -> RunState {
        match self {
            Self::Quarantined { run, .. } | Self::Failed { run, .. } => *run,
            _ => RunState::NotRun,
        }
    }

    /// Pause before the caller may retry.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::Overloaded { retry_after }
            | Self::DeadlineUnreachable { retry_after }
            | Self::NoTarget { retry_after }
            | Self::Evacuated { retry_after }
            | Self::Quarantined { retry_after, .. }
            | Self::Failed { retry_after, .. }
            | Self::Draining { retry_after } => *retry_after,
        }
    }

    /// Stable error code for callers.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Overloaded { .. } => "overloaded",
            Self::DeadlineUnreachable { .. } => "deadline-unreachable",
            Self::NoTarget { .. } => "no-target",
            Self::Evacuated { .. } => "evacuated",
            Self::Quarantined { .. } => "quarantined",
            Self::Failed { .. } => "target-failed",
            Self::Draining { .. } => "draining",
        }
    }
}
