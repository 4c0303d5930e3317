//! State of the graceful shutdown.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crate::latch::Latch;
use crate::prelude::*;

/// Counts open requests and connections, and signals the shutdown to connections.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    draining: AtomicBool,
    requests: AtomicUsize,
    connections: AtomicUsize,
    idle_closing: Latch,
}

impl Drain {
    /// Starts the shutdown: from now on, connections close after their next response.
    pub(crate) fn begin(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether the shutdown has started.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Closes connections that wait for their next request.
    pub(crate) fn close_idle(&self) {
        self.idle_closing.set();
    }

    /// Completes once idle connections must close.
    pub(crate) async fn wait_idle_close(&self) {
        self.idle_closing.wait().await;
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn count_request(self: &Arc<Self>) -> CountGuard {
        self.requests.fetch_add(1, Ordering::AcqRel);
        CountGuard(self.clone(), |d| &d.requests)
    }

    /// Counts a connection until the guard is dropped.
    pub(crate) fn count_connection(self: &Arc<Self>) -> CountGuard {
        self.connections.fetch_add(1, Ordering::AcqRel);
        CountGuard(self.clone(), |d| &d.connections)
    }

    /// Number of open requests.
    pub(crate) fn open_requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.connections.load(Ordering::Acquire)
    }
}

/// Guard that decrements a counter when dropped.
pub(crate) struct CountGuard(Arc<Drain>, fn(&Drain) -> &AtomicUsize);

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.1)(&self.0).fetch_sub(1, Ordering::AcqRel);
    }
}
