//! Events and effects of [`Membership`](crate::peer::Membership).

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::platform::Vm;
use crate::prelude::*;

/// Number of a connection, unique within one process.
pub type ConnId = u64;

/// A connection whose peer is authenticated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerConnection {
    /// Number of the connection.
    pub conn: ConnId,
    /// Name of the peer.
    pub peer: Name,
    /// Failure domain of the peer.
    pub domain: Name,
    /// Random identifier of the peer's process run.
    pub boot: u64,
    /// Address that this entry dialled; `None` when the peer dialled.
    pub dialled: Option<SocketAddr>,
}

/// Input of [`Membership`](crate::peer::Membership).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberEvent {
    /// The platform's complete list of VMs.
    Listed(Vec<Vm>),
    /// A connection is established and its peer authenticated.
    Opened(PeerConnection),
    /// Dialling an address failed.
    DialFailed(SocketAddr),
    /// A message arrived on a connection.
    #[serde(rename = "heard")]
    MessageReceived(ConnId),
    /// A heartbeat arrived.
    #[serde(rename = "beat")]
    HeartbeatReceived {
        /// Number of the connection.
        conn: ConnId,
        /// Catalog revision in force at the peer.
        revision: u64,
        /// Time since that revision came into force there, in milliseconds.
        since_ms: u64,
        /// Whether the peer is shutting down.
        draining: bool,
    },
    /// A connection ended.
    Closed(ConnId),
    /// Periodic tick, at which timeouts and due dials are checked.
    Tick,
}

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CloseReason {
    /// The connection leads back to this entry.
    #[serde(rename = "own")]
    SelfConnection,
    /// Another connection to the same peer is kept.
    Duplicate,
    /// No message arrived for the peer timeout.
    Silent,
    /// The peer was restarted and has a new connection.
    Restarted,
    /// This entry is no longer a bridge and closes the links to other failure domains that it
    /// dialled.
    Surplus,
}

impl CloseReason {
    /// Value of the `reason` field in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SelfConnection => "own",
            Self::Duplicate => "duplicate",
            Self::Silent => "silent",
            Self::Restarted => "restarted",
            Self::Surplus => "surplus",
        }
    }
}

/// Action that the owner of the membership state carries out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberEffect {
    /// Dial an address.
    Dial(SocketAddr),
    /// Close a connection.
    Close {
        /// Number of the connection.
        conn: ConnId,
        /// Reason, for the log.
        reason: CloseReason,
    },
    /// The set of live peers changed.
    Changed,
}
