//! What callers may send, and how long they may take.

use crate::prelude::*;

/// What a caller may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest message head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Time for which a connection may stay idle between two requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_mins(1),
        }
    }
}
