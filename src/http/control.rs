//! Draining of a server.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Shared state through which a server is drained.
#[derive(Debug)]
pub struct ServerControl {
    pub(super) draining: AtomicBool,
    pub(super) connections: AtomicUsize,
    pub(super) running: AtomicUsize,
    stop_tx: async_channel::Sender<()>,
    stop_rx: async_channel::Receiver<()>,
}

impl Default for ServerControl {
    fn default() -> Self {
        let (stop_tx, stop_rx) = async_channel::bounded(1);
        Self {
            draining: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            stop_tx,
            stop_rx,
        }
    }
}

impl ServerControl {
    /// Asks callers to close their connections after their next answer.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Stops accepting and closes connections that carry no request.
    pub fn stop(&self) {
        self.drain();
        self.stop_tx.close();
    }

    /// Requests being answered now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }

    /// Connections open now.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }

    pub(super) async fn stopped(&self) {
        let _ = self.stop_rx.recv().await;
    }
}
