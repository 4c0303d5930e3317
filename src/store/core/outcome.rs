//! Results of reading and writing a block.

use crate::prelude::*;
use crate::store::core::Payload;
use crate::store::guard::Pinned;
use crate::store::index::Rejection;
use crate::store::link::Transfer;

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PutOutcome {
    /// The block is stored and readable.
    Stored,
    /// The bytes do not fit the stated digest.
    BadDigest,
    /// The index refused the block.
    Rejected(Rejection),
    /// The disk failed.
    Failed,
}

/// How the start of a read ended.
pub(crate) enum Fetched {
    /// The block, its pin and its place on the link.
    Block(Arc<Payload>, Pinned, Transfer),
    /// The block is not held.
    Miss,
    /// The link is too busy for so long.
    Busy(Duration),
}
