//! A running entry and its graceful shutdown.

use std::time::Instant;

use async_io::Timer;
use log::Level;

use crate::caller::Shared;
use crate::entry::EntryAddresses;
use crate::entry::status::EntryStatus;
use crate::entry::threads::Threads;
use crate::http::ServerControl;
use crate::order::OrderController;
use crate::prelude::*;
use crate::scheduler::Event;
use crate::supervisor::{TaskFailed, TaskFailure};
use crate::telemetry::log_event;

/// Interval at which a drain checks whether all requests and claims have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for the outcomes of claims to be stored, once all responses are sent.
const CLAIMS_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// An entry whose threads are running.
pub struct RunningEntry {
    pub(crate) addresses: EntryAddresses,
    pub(crate) shared: Arc<Shared>,
    pub(crate) status: Arc<EntryStatus>,
    pub(crate) callers: Arc<ServerControl>,
    pub(crate) balancer_lag: Duration,
    /// Stops this entry from owning claim shards and reports to peers that it is draining.
    pub(crate) set_draining: Box<dyn Fn() + Send + Sync>,
    pub(crate) order_controller: Arc<OrderController>,
    pub(crate) failure: Arc<TaskFailure>,
    pub(crate) traffic: Threads,
    pub(crate) control: Threads,
}

impl RunningEntry {
    /// Addresses that the entry listens on.
    #[must_use]
    pub fn addresses(&self) -> &EntryAddresses {
        &self.addresses
    }

    /// State shared by all requests; used by benchmarks and tests.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Completes once a task has failed that the entry cannot do without; it is to be drained then.
    pub async fn task_failed(&self) -> TaskFailed {
        loop {
            self.failure.wait().await;
            if let Some(failed) = self.failure.failed() {
                return failed;
            }
        }
    }

    /// Drains gracefully: turns readiness off, accepts connections for as long as the balancer may
    /// take to notice (`balancer_lag`), then waits until all responses are sent and, at most for
    /// half a minute, until the outcomes of claims are stored. The lease of orders is given back last.
    pub async fn drain(&self) {
        log_event(Level::Info, "drain_started", &[]);
        self.status.set_draining();
        (self.set_draining)();
        self.callers.drain();
        Timer::after(self.balancer_lag).await;
        self.callers.stop();
        self.finish_requests().await;
        self.shared.scheduler.submit(Event::Drain);
        self.finish_claims().await;
        self.order_controller.release_lease().await;
        log_event(Level::Info, "drain_ended", &[]);
    }

    /// Waits until no request is open and no caller is connected. There is no time limit, because a
    /// long response that still makes progress must not be cut off.
    async fn finish_requests(&self) {
        while self.callers.running_requests() > 0 || self.callers.connections() > 0 {
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        while self.shared.scheduler.open_requests() > 0 {
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Waits until no claim is pending, at most for [`CLAIMS_DRAIN_TIMEOUT`].
    async fn finish_claims(&self) {
        let started = Instant::now();
        while self.shared.claims.pending() > 0 && started.elapsed() < CLAIMS_DRAIN_TIMEOUT {
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        let pending = self.shared.claims.pending();
        if pending > 0 {
            log_event(Level::Warn, "claims_left", &[("pending", &pending)]);
        }
    }

    /// Stops and joins all threads without draining.
    pub fn stop(self) {
        self.traffic.stop();
        self.control.stop();
    }
}
