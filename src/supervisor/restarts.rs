//! Pauses between the runs of a task that ends.

use std::time::Duration;

/// Pause after a first short run; it doubles with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Time after which a run no longer counts as short.
const STABLE_TIME: Duration = Duration::from_secs(30);
/// Short runs in a row with which a task counts as failing.
const MAX_SHORT_RUNS: u32 = 8;

/// Runs of one task that ended.
#[derive(Clone, Debug, Default)]
pub struct Restarts {
    count: u64,
    short_runs: u32,
}

impl Restarts {
    /// Records the end of a run; returns the pause before the next one.
    pub fn record_end(&mut self, ran_for: Duration) -> Duration {
        self.count += 1;
        if ran_for >= STABLE_TIME {
            self.short_runs = 0;
        }
        let pause = MIN_PAUSE.saturating_mul(2_u32.saturating_pow(self.short_runs));
        self.short_runs = self.short_runs.saturating_add(1);
        pause.min(MAX_PAUSE)
    }

    /// Whether so many runs in a row were short that another one is not expected to work.
    #[must_use]
    pub fn keep_failing(&self) -> bool {
        self.short_runs >= MAX_SHORT_RUNS
    }

    /// Number of runs that ended.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.count
    }
}
