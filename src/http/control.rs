//! Graceful shutdown of a server.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crate::latch::Latch;

/// Shared state through which a server is drained and stopped.
#[derive(Debug, Default)]
pub struct ServerControl {
    pub(super) draining: AtomicBool,
    pub(super) connections: AtomicUsize,
    pub(super) running_requests: AtomicUsize,
    stop: Latch,
}

impl ServerControl {
    /// Makes the server close each connection after its next response.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Drains, stops accepting connections and closes idle ones.
    pub fn stop(&self) {
        self.drain();
        self.stop.set();
    }

    /// Number of requests in progress, from the first byte received to the last byte sent.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        self.running_requests.load(Ordering::Acquire)
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    /// Completes once [`Self::stop`] was called.
    pub(super) async fn stopped(&self) {
        self.stop.wait().await;
    }
}
