//! A running gateway and its graceful shutdown.

use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::future::zip;

use crate::entry::Threads;
use crate::gateway::control::Control;
use crate::gateway::shared::Shared;
use crate::latch::Latch;
use crate::peer::Mesh;
use crate::prelude::*;
use crate::signals::ProcessSignals;

/// Interval at which a shutdown checks whether all connections have closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay between the end of the last request and the exit, in which its response is sent.
const FINAL_RESPONSE_DELAY: Duration = Duration::from_millis(100);

/// A running gateway.
pub struct Gateway {
    pub(crate) shared: Arc<Shared>,
    pub(crate) control: Arc<Control>,
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) stop_accepting: Latch,
    pub(crate) balancer_lag: Duration,
    pub(crate) shutdown_timeout: Duration,
    pub(crate) traffic_threads: Threads,
    pub(crate) control_executor: Arc<Executor<'static>>,
}

impl Gateway {
    /// Runs the control tasks on the calling thread until a signal asks the process to end, then
    /// shuts down gracefully.
    pub fn run(self, signals: &mut ProcessSignals) {
        let control = self.control_executor.clone();
        async_io::block_on(control.run(async {
            signals.stop_requested().await;
            self.shut_down().or(signals.log_all()).await;
        }));
        self.traffic_threads.stop();
    }

    /// Fails readiness checks at once, accepts connections until the load balancer has noticed, and
    /// waits until all connections have closed or the shutdown timeout has passed. Until then a holder
    /// of the lease goes on with a rollout.
    async fn shut_down(&self) {
        let started = Instant::now();
        log::info!(
            "event=drain_started requests={}",
            self.shared.drain.open_requests()
        );
        self.shared.drain.begin();
        self.mesh.set_draining(true);
        Timer::after(self.balancer_lag).await;
        self.stop_accepting.set();
        self.shared.drain.close_idle();
        while self.shared.drain.open_connections() > 0 && started.elapsed() < self.shutdown_timeout
        {
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        let last_response = Timer::after(FINAL_RESPONSE_DELAY);
        zip(last_response, self.control.release_lease()).await;
        self.mesh.leave();
        log::info!(
            "event=drain_ended requests_left={} took_ms={}",
            self.shared.drain.open_requests(),
            started.elapsed().as_millis()
        );
    }
}
