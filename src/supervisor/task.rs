//! What a supervisor does with one long-lived task.

/// A long-lived task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupervisedTask {
    /// Name in log lines and metrics.
    pub name: &'static str,
    /// Whether the process ends when the task keeps ending.
    pub is_required: bool,
    /// Whether its return is its regular end.
    pub may_return: bool,
}

impl SupervisedTask {
    /// A task that is started again for as long as the process lives. For tasks that act on what comes
    /// from outside: a process that starts anew would meet the same input and know less.
    #[must_use]
    pub fn retried(name: &'static str) -> Self {
        Self {
            name,
            is_required: false,
            may_return: false,
        }
    }

    /// A task without which no connection is accepted. It sees nothing of what comes over the
    /// connections, so that if it keeps ending, the cause is in the process, and a new one is of use.
    #[must_use]
    pub fn required(name: &'static str) -> Self {
        Self {
            is_required: true,
            ..Self::retried(name)
        }
    }

    /// The same task, which is over when it returns.
    #[must_use]
    pub fn may_return(self) -> Self {
        Self {
            may_return: true,
            ..self
        }
    }
}
