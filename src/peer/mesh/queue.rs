//! Frames waiting for one connection.

use async_channel::{Receiver, Sender};
use async_tungstenite::tungstenite::Bytes;

/// Frames waiting for one peer at most.
const LENGTH: usize = 1024;

/// Sending side of a connection; the connection ends when it is dropped.
pub(super) struct Queue {
    tx: Sender<Bytes>,
    _stop: Sender<()>,
}

/// Receiving side of a connection's queue.
pub(crate) struct Outgoing {
    /// Frames to send.
    pub frames: Receiver<Bytes>,
    /// Closed when the connection is to end at once.
    pub stop: Receiver<()>,
}

impl Queue {
    /// Makes both sides.
    pub(super) fn new() -> (Self, Outgoing) {
        let (tx, frames) = async_channel::bounded(LENGTH);
        let (stop_tx, stop) = async_channel::bounded(1);
        (Self { tx, _stop: stop_tx }, Outgoing { frames, stop })
    }

    /// Adds a frame; `false` when the queue is full.
    pub(super) fn push(&self, frame: Bytes) -> bool {
        self.tx.try_send(frame).is_ok()
    }
}
