//! Events and effects of [`Membership`](crate::peer::Membership).

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::platform::Vm;
use crate::prelude::*;

/// Number of a connection within one process.
pub type ConnId = u64;

/// A connection whose peer has proved itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opened {
    /// Number of the connection.
    pub conn: ConnId,
    /// Name of the peer.
    pub peer: Name,
    /// Failure domain of the peer.
    pub domain: Name,
    /// Random number of the peer's process.
    pub boot: u64,
    /// Address that was dialled; none when the peer dialled.
    pub dialled: Option<SocketAddr>,
}

/// Something that happened to the links of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberEvent {
    /// The platform's list of VMs, whole.
    Listed(Vec<Vm>),
    /// A connection is ready for use.
    Opened(Opened),
    /// Dialling an address came to nothing.
    DialFailed(SocketAddr),
    /// Any message arrived.
    Heard(ConnId),
    /// A heartbeat arrived.
    Beat {
        /// Number of the connection.
        conn: ConnId,
        /// Catalog revision in force at the peer.
        revision: u64,
        /// Time since it came into force, in milliseconds.
        since_ms: u64,
        /// Whether the peer is shutting down.
        draining: bool,
    },
    /// A connection ended.
    Closed(ConnId),
    /// Time passed.
    Tick,
}

/// Why a connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CloseReason {
    /// Both ends are the same process.
    Own,
    /// Another connection to the same peer is kept.
    Duplicate,
    /// Nothing was heard for the peer timeout.
    Silent,
    /// The peer's process was replaced by a newer one.
    Restarted,
    /// This entry no longer links to other domains.
    Surplus,
}

impl CloseReason {
    /// Value in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Duplicate => "duplicate",
            Self::Silent => "silent",
            Self::Restarted => "restarted",
            Self::Surplus => "surplus",
        }
    }
}

/// Something to be done by the program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberEffect {
    /// Connect to an address.
    Dial(SocketAddr),
    /// Close a connection.
    Close {
        /// Number of the connection.
        conn: ConnId,
        /// Why.
        reason: CloseReason,
    },
    /// The set of live peers changed.
    Changed,
}
