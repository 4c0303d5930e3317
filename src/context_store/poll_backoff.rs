//! How soon a context store is asked again, by the results of its last calls.

use crate::prelude::*;

/// Pause after a call without an answer, and after the first one that is of no use.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause after answers in a row that are of no use. A list is costly for the store.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// The same while what the store holds is known: one that is not asked for longer counts as silent.
const MAX_PAUSE_IN_USE: Duration = Duration::from_millis(600);

/// What a query for changes came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollResult {
    /// All changes so far are known.
    Current,
    /// The store answered at once although it has no change that follows.
    Repeated,
    /// Changes are missing, and the store was asked for the full list instead.
    Listed,
    /// The store did not answer.
    NoAnswer,
    /// Its answer, or the list that changes are missing for, cannot be read.
    Unreadable,
}

impl PollResult {
    /// Whether it is known what the store holds.
    #[must_use]
    pub fn is_usable(self) -> bool {
        matches!(self, Self::Current | Self::Repeated | Self::Listed)
    }
}

/// Pauses between the calls to one store, which grow while they come to nothing.
#[derive(Clone, Debug, Default)]
pub struct PollBackoff {
    /// Number of answers in a row that were of no use for the next call.
    futile: u32,
}

impl PollBackoff {
    /// The pause after a call, which is `batch_pause` if the next one asks for what follows.
    pub fn pause_after(&mut self, result: PollResult, batch_pause: Duration) -> Duration {
        let max_pause = match result {
            PollResult::Current => {
                self.futile = 0;
                return batch_pause;
            }
            PollResult::NoAnswer => return RETRY_PAUSE,
            PollResult::Listed if self.futile == 0 => {
                self.futile = 1;
                return batch_pause;
            }
            PollResult::Repeated => MAX_PAUSE_IN_USE,
            PollResult::Listed | PollResult::Unreadable => MAX_PAUSE,
        };
        let factor = 2_u32.saturating_pow(self.futile);
        self.futile = self.futile.saturating_add(1);
        RETRY_PAUSE.saturating_mul(factor).min(max_pause)
    }
}
