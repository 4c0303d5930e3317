//! Why a connection through a peer was not made.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What a peer says of a target that it did not connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RelayFailure {
    /// The target refuses connections.
    Refused,
    /// No connection was made in time.
    TimedOut,
    /// The peer is cut off from targets itself, so that its view says nothing of this one.
    CutOff,
    /// The peer does not know the target, is shutting down, or relays too much already.
    Unavailable,
}

impl RelayFailure {
    /// Whether the peer, which reaches other targets, does not reach this one.
    #[must_use]
    pub fn is_about_target(self) -> bool {
        matches!(self, Self::Refused | Self::TimedOut)
    }
}

/// Why a connection through a peer was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayError {
    /// The peer does not answer.
    Peer,
    /// The peer answers that it has no connection to the target.
    Target(RelayFailure),
}

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Peer => f.write_str("the peer does not answer"),
            Self::Target(RelayFailure::Refused) => f.write_str("the target refuses the peer"),
            Self::Target(RelayFailure::TimedOut) => f.write_str("the peer does not reach it"),
            Self::Target(RelayFailure::CutOff) => f.write_str("the peer is cut off itself"),
            Self::Target(RelayFailure::Unavailable) => f.write_str("the peer does not relay to it"),
        }
    }
}

impl std::error::Error for RelayError {}
