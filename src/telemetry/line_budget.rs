//! Limit on the log lines of one kind of event.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::prelude::*;

/// Length of the window over which lines are counted.
const WINDOW: Duration = Duration::from_millis(500);
/// Windows in a second.
const WINDOWS_PER_SECOND: u32 = 2;
/// Part of all lines, as its inverse, that one kind of event may have.
const PART_OF_LINES: u32 = 2;

#[derive(Debug, Default)]
struct State {
    window_start: Timestamp,
    /// Lines permitted in the window.
    permitted: u32,
    /// Lines left out since the last one that was permitted.
    left_out: u64,
}

/// Limits the log lines of one kind of event, so that they leave room for others.
#[derive(Debug)]
pub struct LineBudget {
    lines_per_window: u32,
    state: Mutex<State>,
}

impl LineBudget {
    /// A budget of half of the lines that are written in a second, counted in each half second.
    #[must_use]
    pub fn half_of(lines_per_second: u32) -> Self {
        let lines_per_window = lines_per_second / PART_OF_LINES / WINDOWS_PER_SECOND;
        Self {
            lines_per_window: lines_per_window.max(1),
            state: Mutex::default(),
        }
    }

    /// Permits a line at the time `now`, and returns how many were left out before it; `None` when the
    /// line is to be left out.
    pub fn permit(&self, now: Timestamp) -> Option<u64> {
        let mut state = self.lock();
        if now.saturating_sub(state.window_start) >= WINDOW {
            state.window_start = now;
            state.permitted = 0;
        }
        if state.permitted >= self.lines_per_window {
            state.left_out += 1;
            return None;
        }
        state.permitted += 1;
        Some(std::mem::take(&mut state.left_out))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
