//! Effects that a [`Scheduler`](crate::scheduler::Scheduler) returns.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::scheduler::{LoadEstimate, Refusal, RequestId, SuspectRequest};

/// An action that the program carries out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Send the request to a target.
    Dispatch {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from one.
        attempt: u32,
        /// Name of the target.
        target: Name,
        /// Address of the target.
        address: SocketAddr,
        /// Weight version to run; empty for plain services.
        weights: Name,
        /// Whether an earlier attempt of the request is still running.
        hedge: bool,
        /// Version of the target's software; empty when unknown.
        #[serde(skip)]
        software: Name,
        /// Whether the request was counted against a limit of the target.
        #[serde(skip)]
        within_limit: bool,
        /// Whether the request was counted against what the target takes while it warms up.
        #[serde(skip)]
        within_warm_up: bool,
        /// Another target that is more likely to have the start of the prompt cached.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        neighbour: Option<SocketAddr>,
        /// The load estimate on which the target was chosen, for the log.
        #[serde(skip)]
        estimate: LoadEstimate,
    },
    /// Respond to the caller with a refusal at once; this ends the request.
    Refuse {
        /// The request.
        id: RequestId,
        /// Reason, and when to retry.
        refusal: Refusal,
    },
    /// Stop an attempt whose response is no longer needed.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Notify the peers of a suspected or quarantined request.
    Quarantine(SuspectRequest),
    /// Try a new connection to a target and report the result as a signal, and the load report if
    /// the target sends one.
    Probe {
        /// Name of the target.
        target: Name,
        /// Address of the target.
        address: SocketAddr,
    },
}

impl Effect {
    /// The request that the effect concerns.
    #[must_use]
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Self::Dispatch { id, .. } | Self::Refuse { id, .. } | Self::Cancel { id, .. } => {
                Some(*id)
            }
            Self::Quarantine(_) | Self::Probe { .. } => None,
        }
    }
}
