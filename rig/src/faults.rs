//! Faults injected into a stand-in.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use async_io::Timer;
use serde::{Deserialize, Serialize};

/// Interval at which a frozen stand-in checks whether the freeze has ended.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Faults of one stand-in, as set by `POST /faults`; the default injects none.
#[allow(clippy::struct_excessive_bools)] // Each fault is switched independently.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay before a request is handled, in milliseconds.
    pub delay_ms: u64,
    /// HTTP status to respond with instead of handling the request.
    pub fail_status: Option<u16>,
    /// Handles the request but closes the connection instead of sending the response body.
    pub drop_answer: bool,
    /// Handles no request and sends nothing until the freeze ends; connections stay open.
    pub freeze: bool,
    /// Number of body bytes after which the connection is closed.
    pub close_after: Option<u64>,
    /// Ends streamed responses without their final event `[DONE]`.
    pub omit_final: bool,
    /// Sends the event with this index without end in place of the events after it.
    pub repeat_event: Option<usize>,
    /// Sends the id of another request in the response headers.
    pub crossed: bool,
    /// Sends a weight version in the response headers that is not the one that ran.
    pub other_weights: bool,
    /// Crashes the stand-in when a request body contains this text.
    pub crash_on: Option<String>,
    /// Factor on processing times; values below 1 count as 1.
    pub slow: f64,
    /// Limits the faults to requests whose path starts with this text.
    ///
    /// `path`, `method` and `next` do not limit `freeze` and `slow`, which affect the whole
    /// stand-in.
    pub path: String,
    /// Limits the faults to requests with this method; empty for all.
    pub method: String,
    /// Number of requests that are still affected; `None` for no limit.
    pub next: Option<u64>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            delay_ms: 0,
            fail_status: None,
            drop_answer: false,
            freeze: false,
            close_after: None,
            omit_final: false,
            repeat_event: None,
            crossed: false,
            other_weights: false,
            crash_on: None,
            slow: 1.0,
            path: String::new(),
            method: String::new(),
            next: None,
        }
    }
}

/// Currently injected faults of one stand-in.
#[derive(Debug, Default)]
pub struct ActiveFaults(Mutex<Faults>);

impl ActiveFaults {
    /// Replaces the faults.
    pub fn set(&self, faults: Faults) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// The currently injected faults.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Faults that apply to a request; counts it against [`Faults::next`].
    #[must_use]
    pub fn for_request(&self, method: &str, path: &str) -> Faults {
        let mut faults = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let method_matches = faults.method.is_empty() || faults.method == method;
        if !method_matches || !path.starts_with(&faults.path) {
            return Faults::default();
        }
        match &mut faults.next {
            Some(0) => return Faults::default(),
            Some(remaining) => *remaining -= 1,
            None => {}
        }
        faults.clone()
    }

    /// Current factor on processing times, at least 1.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.get().slow.max(1.0)
    }

    /// Waits until the stand-in is not frozen.
    pub async fn wait_unfrozen(&self) {
        while self.get().freeze {
            Timer::after(FREEZE_POLL_INTERVAL).await;
        }
    }
}
