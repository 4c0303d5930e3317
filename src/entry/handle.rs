//! A running entry and its graceful shutdown.

use std::time::Instant;

use async_io::Timer;
use log::Level;

use crate::caller::Shared;
use crate::entry::EntryAddresses;
use crate::entry::status::Status;
use crate::entry::threads::Threads;
use crate::http::ServerControl;
use crate::prelude::*;
use crate::scheduler::Event;
use crate::telemetry::log_event;

/// Interval at which the shutdown looks whether all work has ended.
const POLL: Duration = Duration::from_millis(10);
/// Longest wait for outcomes of claims to be stored once all answers are finished.
const CLAIMS_WAIT: Duration = Duration::from_secs(30);

/// An entry whose threads run.
pub struct RunningEntry {
    pub(crate) addresses: EntryAddresses,
    pub(crate) shared: Arc<Shared>,
    pub(crate) status: Arc<Status>,
    pub(crate) callers: Arc<ServerControl>,
    pub(crate) balancer_lag: Duration,
    pub(crate) set_draining: Box<dyn Fn() + Send + Sync>,
    pub(crate) traffic: Threads,
    pub(crate) control: Threads,
}

impl RunningEntry {
    /// Addresses that the entry listens on.
    #[must_use]
    pub fn addresses(&self) -> &EntryAddresses {
        &self.addresses
    }

    /// State shared by all requests, for benches and tests.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Shuts down gracefully: readiness off, the balancer's lag waited, all answers finished.
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
        log_event(Level::Info, "drain_ended", &[]);
    }

    /// Waits until no request runs; no timer cuts one that still makes progress.
    async fn finish_requests(&self) {
        while self.callers.running_requests() > 0 || self.callers.connections() > 0 {
            Timer::after(POLL).await;
        }
        while self.shared.scheduler.open_requests() > 0 {
            Timer::after(POLL).await;
        }
    }

    async fn finish_claims(&self) {
        let started = Instant::now();
        while self.shared.claims.pending() > 0 && started.elapsed() < CLAIMS_WAIT {
            Timer::after(POLL).await;
        }
        let pending = self.shared.claims.pending();
        if pending > 0 {
            log_event(Level::Warn, "claims_left", &[("pending", &pending)]);
        }
    }

    /// Stops all threads.
    pub fn stop(self) {
        self.traffic.stop();
        self.control.stop();
    }
}
