//! Decisions on the memory of requests.

use crate::intake::ConnectionId;
use crate::prelude::*;

/// Decision on the bytes that a request occupies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The request may occupy them.
    Granted,
    /// The request keeps what it has, reads nothing and asks again: after `ask_again`, or as soon as
    /// it is among the ready waiters.
    Wait {
        /// Connections that must free their buffers and be closed.
        evicted: SmallVec<[ConnectionId; 4]>,
        /// Time after which to ask again; more than zero.
        ask_again: Duration,
    },
    /// The request must be answered with a refusal and its connection be closed.
    Refused {
        /// Time after which its caller should return; more than zero, at most two seconds.
        retry_after: Duration,
    },
    /// The connection has been evicted: it must free its buffers and be closed.
    Evicted,
}
