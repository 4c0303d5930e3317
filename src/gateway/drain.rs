//! State of a graceful shutdown.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crate::prelude::*;

/// Counts what still runs, and tells connections of the shutdown.
#[derive(Debug)]
pub(crate) struct Drain {
    draining: AtomicBool,
    requests: AtomicUsize,
    connections: AtomicUsize,
    idle_over: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            draining: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            idle_over: async_channel::bounded(1),
        }
    }
}

impl Drain {
    /// Begins the shutdown: every answer from now on ends its connection.
    pub(crate) fn begin(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether the shutdown has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Ends connections that wait for their next request.
    pub(crate) fn end_idle(&self) {
        self.idle_over.0.close();
    }

    /// Completes once idle connections are to end.
    pub(crate) async fn idle_ended(&self) {
        let _ = self.idle_over.1.recv().await;
    }

    /// Counts a request while the guard lives.
    pub(crate) fn request(self: &Arc<Self>) -> Running {
        self.requests.fetch_add(1, Ordering::AcqRel);
        Running(self.clone(), |d| &d.requests)
    }

    /// Counts a connection while the guard lives.
    pub(crate) fn connection(self: &Arc<Self>) -> Running {
        self.connections.fetch_add(1, Ordering::AcqRel);
        Running(self.clone(), |d| &d.connections)
    }

    /// Requests under way.
    pub(crate) fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Open connections.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }
}

/// Counts something that runs while it lives.
pub(crate) struct Running(Arc<Drain>, fn(&Drain) -> &AtomicUsize);

impl Drop for Running {
    fn drop(&mut self) {
        (self.1)(&self.0).fetch_sub(1, Ordering::AcqRel);
    }
}
