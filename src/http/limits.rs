//! Limits on what clients of a server may send.

use std::time::Duration;

/// Limits of one listener.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Longest message head, in bytes; `async-h1` rejects heads of 8 KiB or more.
    pub head_bytes: usize,
    /// Longest message body, in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a message's head after its first bytes, and then to receive its
    /// body, including the time in which a throttle delays it.
    pub message_timeout: Duration,
    /// Longest time a connection may stay idle between messages.
    pub idle_timeout: Duration,
    /// Maximum number of open connections; further ones are closed without a response.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 8 * 1024 - 1,
            body_bytes: 4 * 1024 * 1024,
            message_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_mins(2),
            connections: 16_384,
        }
    }
}
