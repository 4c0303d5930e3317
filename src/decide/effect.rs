//! Effects that a [`Desk`](crate::decide::Desk) asks for.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::decide::{Belief, Refusal, RequestId};
use crate::prefix_keys::BlockKey;
use crate::prelude::*;

/// Something to be done by the program.
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
        /// Whether this attempt races an earlier one that is still running.
        hedge: bool,
        /// Another target that is more likely to hold the start of the prompt.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        neighbour: Option<SocketAddr>,
        /// What the target was chosen on, for the log.
        #[serde(skip)]
        belief: Belief,
    },
    /// Answer the caller with a refusal at once; the request is finished.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        refusal: Refusal,
    },
    /// Stop an attempt whose answer is no longer wanted.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Tell the peers about a suspected or quarantined request.
    Quarantine {
        /// Fingerprint.
        fingerprint: BlockKey,
        /// Targets that died while running it.
        victims: Vec<Name>,
        /// Time of the quarantine; zero while it is only suspected.
        ttl: Duration,
    },
    /// Try a new connection to a target.
    Probe {
        /// Name of the target.
        target: Name,
        /// Address of the target.
        address: SocketAddr,
    },
}
