//! What happens to a store's blocks.

use serde::{Deserialize, Serialize};

use crate::cache::BlockKey;
use crate::prelude::*;
use crate::store::index::{BlockInfo, Generation, ReaderId, UploadId};

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// An upload asks for its place on disk.
    Begin {
        /// The upload.
        upload: UploadId,
        /// The block.
        block: BlockInfo,
    },
    /// All bytes of an upload are in the staging folder and fit their digest.
    Staged {
        /// The upload.
        upload: UploadId,
    },
    /// An upload ended without a commit.
    Failed {
        /// The upload.
        upload: UploadId,
    },
    /// The commit of an upload took effect.
    Committed {
        /// The upload.
        upload: UploadId,
    },
    /// A reader asks for a block.
    Pin {
        /// The reader.
        reader: ReaderId,
        /// Key of the block.
        key: BlockKey,
        /// Customer of the reader's ticket.
        customer: Name,
    },
    /// A reader has finished or given up.
    Unpin {
        /// The reader.
        reader: ReaderId,
    },
    /// The bytes of a block were read from disk or written and are at hand.
    Loaded {
        /// Generation of the block.
        generation: Generation,
    },
    /// The bytes of a block do not fit its digest or cannot be read.
    Corrupt {
        /// Generation of the block.
        generation: Generation,
    },
    /// The owner frees a block.
    Free {
        /// Key of the block.
        key: BlockKey,
        /// Customer of the ticket.
        customer: Name,
    },
    /// The bytes of a generation are gone.
    Removed {
        /// The generation.
        generation: Generation,
    },
    /// The bytes of a generation could not be removed.
    RemoveFailed {
        /// The generation.
        generation: Generation,
    },
    /// A probe named consecutive blocks of one prefix.
    Chain {
        /// Customer of the probe.
        customer: Name,
        /// Keys, first block first.
        keys: Vec<BlockKey>,
    },
    /// Time passed.
    Tick,
}
