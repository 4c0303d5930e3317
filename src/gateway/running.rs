//! A running gateway and its graceful shutdown.

use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future::zip;
use futures_lite::{FutureExt, Stream, StreamExt};

use crate::entry::Threads;
use crate::gateway::control::Control;
use crate::gateway::shared::Shared;
use crate::latch::Latch;
use crate::peer::Mesh;
use crate::prelude::*;
use crate::supervisor::{TaskFailed, TaskFailure};
use crate::telemetry::PROCESS_LOG;

/// Interval at which a shutdown checks whether all connections have closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay between the end of the last request and the exit, in which its response is sent.
const FINAL_RESPONSE_DELAY: Duration = Duration::from_millis(100);

/// Name of the future that tells when to stop.
const STOP_TASK: &str = "stop_signals";
/// Name of the shutdown.
const SHUTDOWN_TASK: &str = "shutdown";

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
    pub(crate) failure: Arc<TaskFailure>,
}

impl Gateway {
    /// Runs the control tasks on the calling thread until the first of `stop_requests` or until a task
    /// fails that the gateway cannot do without, then shuts down gracefully. Further requests are taken
    /// meanwhile and change nothing.
    ///
    /// # Errors
    /// When the gateway ends because of a task.
    pub fn run(self, stop_requests: impl Stream<Item = ()>) -> Result<(), TaskFailed> {
        let control = self.control_executor.clone();
        let mut stop_requests = pin!(stop_requests);
        let result = async_io::block_on(control.run(async {
            let stop = async {
                stop_requests.next().await;
            };
            let stopped = self.run_task(STOP_TASK, stop);
            let failed = async {
                self.failure.wait().await;
                self.failure.failed().map_or(Ok(()), Err)
            };
            let result = stopped.or(failed).await;
            if let Err(TaskFailed { task }) = result {
                log::error!(target: PROCESS_LOG, "event=task_failed task={task}");
            }
            let further = async {
                while stop_requests.next().await.is_some() {}
                std::future::pending::<()>().await;
            };
            let shut_down = self.run_task(SHUTDOWN_TASK, self.shut_down().or(further));
            result.and(shut_down.await)
        }));
        self.traffic_threads.stop();
        result
    }

    /// Runs a future of the main thread, which is not started again when it panics.
    async fn run_task(
        &self,
        task: &'static str,
        run: impl Future<Output = ()>,
    ) -> Result<(), TaskFailed> {
        let result = AssertUnwindSafe(run).catch_unwind().await;
        result.map_err(|_| {
            self.shared.metrics.panics.with_label_values(&[task]).inc();
            TaskFailed { task }
        })
    }

    /// Fails readiness checks at once, accepts connections until the load balancer has noticed, and
    /// waits until all connections have closed or the shutdown timeout has passed. Until then a holder
    /// of the lease goes on with a rollout.
    async fn shut_down(&self) {
        let started = Instant::now();
        log::info!(
            target: PROCESS_LOG,
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
            target: PROCESS_LOG,
            "event=drain_ended requests_left={} took_ms={}",
            self.shared.drain.open_requests(),
            started.elapsed().as_millis()
        );
    }
}
