//! Requests for memory.

use crate::intake::ConnectionId;
use crate::intake::size_class::SizeClass;

/// A connection's request for more memory than it holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoomRequest {
    pub(crate) id: ConnectionId,
    /// Bytes that it holds now.
    pub(crate) held: usize,
    /// Bytes that it asks for, with those that it holds.
    pub(crate) bytes: usize,
}

impl RoomRequest {
    /// Class in which it asks.
    pub(crate) fn class(&self) -> SizeClass {
        SizeClass::of(self.bytes)
    }

    /// Bytes that it already holds in the class in which it asks.
    pub(crate) fn held_in_class(&self) -> usize {
        if SizeClass::of(self.held) == self.class() {
            self.held
        } else {
            0
        }
    }
}
