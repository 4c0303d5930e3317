//! One generation of a block.

use serde::{Deserialize, Serialize};

use crate::cache::BlockKey;
use crate::prelude::*;

/// Number of one upload's bytes on disk; it is never used twice in a folder.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Generation(pub u64);

/// Number of an upload within one store process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UploadId(pub u64);

/// Number of a reader within one store process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReaderId(pub u64);

/// What is known of a block before its bytes arrive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockInfo {
    /// Key.
    pub key: BlockKey,
    /// Customer that owns it.
    pub customer: Name,
    /// Key of the block before it in its prefix.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<BlockKey>,
    /// Length in bytes.
    pub bytes: u64,
}

/// Stage of a block's life; it only moves down this list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Life {
    /// Bytes are being written to the staging folder.
    Staging { freed: bool },
    /// The bytes are whole and the commit is under way.
    Committing { freed: bool },
    /// Readable.
    Held,
    /// Unlinked, with readers left.
    Retired,
    /// The removal of the bytes is under way.
    Removing,
    /// The removal failed and is tried again.
    Stuck,
}

#[derive(Debug)]
pub(super) struct Block {
    pub(super) info: BlockInfo,
    pub(super) life: Life,
    pub(super) pins: u32,
    pub(super) last_read: Stamp,
    pub(super) reuse: u8,
}

impl Block {
    pub(super) fn new(mut info: BlockInfo, life: Life) -> Self {
        info.parent = info.parent.filter(|parent| *parent != info.key);
        Self {
            info,
            life,
            pins: 0,
            last_read: Stamp::ZERO,
            reuse: 0,
        }
    }
}
