//! Decisions on new connections.

use crate::intake::ConnectionId;

/// Decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opened {
    /// It is admitted.
    Admitted(ConnectionId),
    /// It is admitted, and another one must be closed.
    AdmittedInPlaceOf {
        /// The new connection.
        id: ConnectionId,
        /// The one to close.
        evicted: ConnectionId,
    },
    /// It must be closed: all places are taken by connections that are in use.
    Refused,
}
