//! Keeps the long-lived tasks of a process running.
//!
//! The executor drops a task that panics and goes on with the others, so that a process would live on
//! without the task's work. A [`Supervisor`] starts such a task again after a pause that grows, and
//! reports a task that keeps ending to [`TaskFailure`], by which the process ends in order.

mod restarts;
mod task;
mod task_failure;

pub use restarts::Restarts;
pub use task::SupervisedTask;
pub use task_failure::{TaskFailed, TaskFailure};

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use prometheus::IntCounterVec;

use crate::clock::whole_millis;
use crate::prelude::*;
use crate::telemetry::{GatewayMetrics, PROCESS_LOG};

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    Returned,
    Panicked,
}

/// Spawns the tasks of one executor so that their panics are contained, logged and counted.
#[derive(Clone, Debug)]
pub struct Supervisor {
    executor: Arc<Executor<'static>>,
    runner: Runner,
}

/// Runs futures and reports how they end. It does not hold the executor, which its tasks would
/// otherwise keep alive.
#[derive(Clone, Debug)]
struct Runner {
    panics: IntCounterVec,
    failure: Arc<TaskFailure>,
}

impl Supervisor {
    /// Creates a supervisor that counts panics by task and reports a task that keeps ending.
    #[must_use]
    pub fn new(
        executor: Arc<Executor<'static>>,
        panics: IntCounterVec,
        failure: Arc<TaskFailure>,
    ) -> Self {
        let runner = Runner { panics, failure };
        Self { executor, runner }
    }

    /// The executor on which the tasks run.
    #[must_use]
    pub fn executor(&self) -> &Arc<Executor<'static>> {
        &self.executor
    }

    /// Runs the futures that `start` makes, one after the other, for as long as the executor runs.
    pub fn keep<F>(&self, task: SupervisedTask, start: impl Fn() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let runner = self.runner.clone();
        let kept = async move { runner.keep(task, start).await };
        self.executor.spawn(kept).detach();
    }

    /// Runs a future once; a panic ends it alone.
    pub fn spawn(&self, name: &'static str, run: impl Future<Output = ()> + Send + 'static) {
        let runner = self.runner.clone();
        // On the heap at once, since each step of a future holds its own copy of what it awaits.
        let run = run.boxed();
        let contained = async move {
            if runner.run_once(name, run).await == RunEnd::Panicked {
                log::error!("event=task_panicked task={name} restarts=-");
            }
        };
        self.executor.spawn(contained).detach();
    }
}

impl From<Arc<Executor<'static>>> for Supervisor {
    /// Creates a supervisor with a counter of its own, whose failed tasks nobody waits for.
    fn from(executor: Arc<Executor<'static>>) -> Self {
        let panics = GatewayMetrics::new().panics;
        Self::new(executor, panics, Arc::default())
    }
}

impl Runner {
    async fn keep<F>(&self, task: SupervisedTask, start: impl Fn() -> F + Send)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut restarts = Restarts::default();
        loop {
            let started = Instant::now();
            // A panic of `start` itself counts like one of the future.
            let end = match catch_unwind(AssertUnwindSafe(&start)) {
                Ok(run) => self.run_once(task.name, run.boxed()).await,
                Err(_) => self.count_panic(task.name),
            };
            if end == RunEnd::Returned && task.may_return {
                return;
            }
            let pause = restarts.record_end(started.elapsed());
            log_restart(task.name, end, &restarts, pause);
            if task.is_required && restarts.keep_failing() {
                self.failure.report(task.name);
            }
            Timer::after(pause).await;
        }
    }

    async fn run_once(&self, name: &'static str, mut run: Boxed<()>) -> RunEnd {
        let result = AssertUnwindSafe(&mut run).catch_unwind().await;
        // What the future still holds may panic when it is dropped.
        let dropped = catch_unwind(AssertUnwindSafe(|| drop(run)));
        if result.is_ok() && dropped.is_ok() {
            return RunEnd::Returned;
        }
        self.count_panic(name)
    }

    fn count_panic(&self, name: &str) -> RunEnd {
        self.panics.with_label_values(&[name]).inc();
        RunEnd::Panicked
    }
}

fn log_restart(task: &str, end: RunEnd, restarts: &Restarts, pause: Duration) {
    let event = match end {
        RunEnd::Returned => "task_returned",
        RunEnd::Panicked => "task_panicked",
    };
    let count = restarts.count();
    let pause_ms = whole_millis(pause);
    log::error!(
        target: PROCESS_LOG,
        "event={event} task={task} restarts={count} pause_ms={pause_ms}"
    );
}
