//! The error of a connection that must be closed.

use std::fmt;

/// A connection has been evicted: it must free its buffers and be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evicted;

impl fmt::Display for Evicted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection has been evicted")
    }
}

impl std::error::Error for Evicted {}
