//! Waits for memory.

use crate::intake::size_class::SizeClass;
use crate::prelude::*;

/// A request's wait for memory.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    /// Place in the queue of its class: the smallest is served first.
    pub(crate) ticket: u64,
    /// When the request began to wait.
    pub(crate) since: Timestamp,
    /// Class of the request once it has the bytes.
    pub(crate) class: SizeClass,
    /// Bytes that it needs beyond those that it holds.
    pub(crate) bytes: usize,
    /// Bytes that it holds once its wait ends.
    pub(crate) total_bytes: usize,
}
