//! Queue of outgoing frames of one connection.

use async_channel::{Receiver, Sender};
use async_tungstenite::tungstenite::Bytes;

/// Frames queued for one connection at most; further ones are dropped.
const MAX_QUEUED_FRAMES: usize = 1024;

/// Sending side of the queue; dropping it ends the connection.
pub(super) struct Queue {
    frames: Sender<Bytes>,
    _stop: Sender<()>,
}

/// Receiving side of the queue.
pub(crate) struct Outgoing {
    /// Frames to send.
    pub frames: Receiver<Bytes>,
    /// Closed when the connection is to end at once.
    pub stop: Receiver<()>,
}

impl Queue {
    /// Makes both sides of a queue.
    pub(super) fn new() -> (Self, Outgoing) {
        let (frames_tx, frames) = async_channel::bounded(MAX_QUEUED_FRAMES);
        let (stop_tx, stop) = async_channel::bounded(1);
        (
            Self {
                frames: frames_tx,
                _stop: stop_tx,
            },
            Outgoing { frames, stop },
        )
    }

    /// Adds a frame; `false` when the queue is full.
    pub(super) fn push(&self, frame: Bytes) -> bool {
        self.frames.try_send(frame).is_ok()
    }
}
