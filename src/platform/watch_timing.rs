//! How long a watch may go without an answer.

use crate::prelude::*;

/// Time limit for a call that does not wait for a change, and for opening a connection.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause between two calls of one watch, in which changes accumulate: each call has a price.
pub const WATCH_CALL_PAUSE: Duration = Duration::from_millis(300);
/// Time for an answer to arrive, beyond the time for which the store delays it.
const ANSWER_TIME: Duration = Duration::from_millis(700);

/// Times of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTiming {
    /// Longest time for which the store delays an answer while nothing changes.
    pub wait: Duration,
    /// Time without an answer after which the watch has failed.
    pub max_silence: Duration,
}

impl WatchTiming {
    /// A watch that waits for changes, and fails without an answer for `max_silence`.
    #[must_use]
    pub fn waiting(max_silence: Duration) -> Self {
        Self {
            wait: max_silence.saturating_sub(ANSWER_TIME),
            max_silence,
        }
    }

    /// A watch that is answered at once, and fails without an answer for `max_silence`.
    #[must_use]
    pub fn at_once(max_silence: Duration) -> Self {
        Self {
            wait: Duration::ZERO,
            max_silence,
        }
    }
}
