//! The failure that a process cannot go on with.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::sync::OnceLock;

use crate::latch::Latch;

/// A task that keeps ending although the process cannot do without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskFailed {
    /// Name of the task.
    pub task: &'static str,
}

impl Display for TaskFailed {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "task {} keeps ending", self.task)
    }
}

impl Error for TaskFailed {}

/// Reports the first task that failed, for which the process ends.
#[derive(Debug, Default)]
pub struct TaskFailure {
    failed: OnceLock<TaskFailed>,
    happened: Latch,
}

impl TaskFailure {
    /// Reports a failed task; only the first one counts.
    pub fn report(&self, task: &'static str) {
        let _ = self.failed.set(TaskFailed { task });
        self.happened.set();
    }

    /// The failed task, if there is one.
    #[must_use]
    pub fn failed(&self) -> Option<TaskFailed> {
        self.failed.get().copied()
    }

    /// Completes once a task has failed.
    pub async fn wait(&self) {
        self.happened.wait().await;
    }
}
