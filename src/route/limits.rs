//! Size limits and timeouts for callers' requests.

use crate::prelude::*;

/// Size limits and timeouts for callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a message head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a head from its first byte, and again to receive the body.
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
