//! Long-lived tasks that panic or return.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_executor::Executor;
use async_io::{Timer, block_on};
use futures_lite::FutureExt;
use guavahold::supervisor::{Restarts, SupervisedTask, Supervisor, TaskFailed, TaskFailure};
use guavahold::telemetry::GatewayMetrics;

/// Time limit for what a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval at which a test looks whether it has happened.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What a task does in one of its runs.
#[derive(Clone, Copy)]
enum Run {
    Panic,
    PanicInStart,
    PanicInDrop,
    Return,
    Stay,
}

struct PanicOnDrop;

impl Drop for PanicOnDrop {
    fn drop(&mut self) {
        panic!("planned panic in a drop");
    }
}

struct TestSupervisor {
    executor: Arc<Executor<'static>>,
    metrics: GatewayMetrics,
    failure: Arc<TaskFailure>,
    supervisor: Supervisor,
    runs: Arc<AtomicU32>,
}

impl TestSupervisor {
    fn new() -> Self {
        let executor = Arc::new(Executor::new());
        let metrics = GatewayMetrics::new();
        let failure = Arc::new(TaskFailure::default());
        let supervisor = Supervisor::new(executor.clone(), metrics.panics.clone(), failure.clone());
        Self {
            executor,
            metrics,
            failure,
            supervisor,
            runs: Arc::default(),
        }
    }

    /// Keeps a task running whose first runs are given; the last one is repeated.
    fn keep(&self, task: SupervisedTask, plan: &'static [Run]) {
        let runs = self.runs.clone();
        self.supervisor.keep(task, move || {
            let n = runs.fetch_add(1, Ordering::SeqCst) as usize;
            let run = plan[n.min(plan.len() - 1)];
            assert!(
                !matches!(run, Run::PanicInStart),
                "planned panic in a start"
            );
            async move {
                let _guard = matches!(run, Run::PanicInDrop).then(|| PanicOnDrop);
                match run {
                    Run::Panic => panic!("planned panic"),
                    Run::Stay => std::future::pending().await,
                    _ => {}
                }
            }
        });
    }

    /// Runs the tasks until `reached` holds.
    fn run_until(&self, reached: impl Fn() -> bool) {
        let poll = async {
            while !reached() {
                Timer::after(POLL_INTERVAL).await;
            }
            true
        };
        let timeout = async {
            Timer::after(WAIT_TIMEOUT).await;
            false
        };
        assert!(block_on(self.executor.run(poll.or(timeout))), "in vain");
    }

    fn runs(&self) -> u32 {
        self.runs.load(Ordering::SeqCst)
    }

    fn panics(&self) -> u64 {
        self.metrics.panics.with_label_values(&["t"]).get()
    }
}

/// Guards against a process that lives on without the work of a task that ended.
#[test]
fn task_that_ends_is_started_again() {
    let test = TestSupervisor::new();
    let plan = &[
        Run::Panic,
        Run::PanicInStart,
        Run::PanicInDrop,
        Run::Return,
        Run::Stay,
    ];
    test.keep(SupervisedTask::required("t"), plan);
    test.run_until(|| test.runs() == 5);
    assert_eq!(test.panics(), 3);
    assert_eq!(test.failure.failed(), None);
}

#[test]
fn task_that_may_return_is_not_started_again() {
    let test = TestSupervisor::new();
    let plan = &[Run::Panic, Run::Return, Run::Stay];
    test.keep(SupervisedTask::required("t").may_return(), plan);
    test.run_until(|| test.runs() == 2);
    block_on(test.executor.run(Timer::after(Duration::from_millis(300))));
    assert_eq!(test.runs(), 2);
}

/// Guards against a process that serves nothing and does not end.
#[test]
fn required_task_that_keeps_panicking_is_a_failure() {
    let test = TestSupervisor::new();
    test.keep(SupervisedTask::required("t"), &[Run::Panic]);
    test.run_until(|| test.failure.failed().is_some());
    assert_eq!(test.failure.failed(), Some(TaskFailed { task: "t" }));
    block_on(test.failure.wait());
}

/// Guards against input from outside that ends all processes that read it.
#[test]
fn retried_task_that_keeps_panicking_is_no_failure() {
    let test = TestSupervisor::new();
    test.keep(SupervisedTask::retried("t"), &[Run::Panic]);
    test.run_until(|| test.runs() == 9);
    assert_eq!(test.failure.failed(), None);
}

#[test]
fn task_that_runs_once_leaves_the_others_when_it_panics() {
    let test = TestSupervisor::new();
    test.keep(SupervisedTask::required("other"), &[Run::Stay]);
    test.supervisor
        .spawn("t", async { panic!("planned panic") });
    test.run_until(|| test.panics() == 1);
    assert_eq!(test.runs(), 1);
}

#[test]
fn pauses_of_short_runs_grow_to_a_bound() {
    let mut restarts = Restarts::default();
    let pauses: Vec<_> = (0..9)
        .map(|_| restarts.record_end(Duration::ZERO).as_millis())
        .collect();
    let expected = [50, 100, 200, 400, 800, 1_600, 3_200, 5_000, 5_000];
    assert_eq!(pauses, expected);
    assert!(restarts.keep_failing());
}

/// Guards against a task that ends seldom and is taken for one that cannot work.
#[test]
fn long_run_is_no_failure() {
    let mut restarts = Restarts::default();
    for _ in 0..20 {
        let pause = restarts.record_end(Duration::from_mins(1));
        assert_eq!(pause, Duration::from_millis(50));
    }
    assert!(!restarts.keep_failing());
    assert_eq!(restarts.count(), 20);
}
