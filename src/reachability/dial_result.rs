//! Result of a connection attempt.

use std::io;

/// Result of an entry's own attempt to connect to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialResult {
    /// The connection was made.
    Connected,
    /// The connection was refused or reset.
    Refused,
    /// Nothing was heard in time.
    TimedOut,
}

impl DialResult {
    /// The result that an error of the operating system stands for.
    #[must_use]
    pub fn of_error(err: &io::Error) -> Self {
        match err.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => Self::Refused,
            _ => Self::TimedOut,
        }
    }
}
