//! Limits on what clients of a server may send.

use std::time::Duration;

use crate::http::OVERRUN_BYTES;
use crate::intake::IntakeLimits;

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
    /// Maximum number of open connections. Beyond it, idle ones are closed for new ones, and new ones
    /// are closed without a response if none is idle.
    pub connections: usize,
    /// Maximum size of all messages that are being received or served, in bytes; further ones are
    /// refused.
    pub request_bytes: usize,
}

impl Limits {
    /// Bounds on what all clients hold together.
    #[must_use]
    pub fn intake(&self) -> IntakeLimits {
        IntakeLimits {
            bytes: self.request_bytes,
            connections: self.connections,
        }
    }

    /// Bytes that the largest message occupies while it is received: a chunked body is in two buffers
    /// when it grows for the last time.
    #[must_use]
    pub fn max_request_bytes(&self) -> usize {
        let longest_body = self.body_bytes + OVERRUN_BYTES;
        2 * self.head_bytes + longest_body + longest_body / 2
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 8 * 1024 - 1,
            body_bytes: 4 * 1024 * 1024,
            message_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_mins(2),
            connections: 16_384,
            request_bytes: 64 * 1024 * 1024,
        }
    }
}
