//! What a store is to do with its disk, memory and callers.

use serde::{Deserialize, Serialize};

use crate::cache::BlockKey;
use crate::store::index::{Generation, ReaderId, UploadId};

/// Why an upload is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// The block is held.
    Held,
    /// The block is held for another customer.
    NotOwner,
    /// The disk is full and nothing may be evicted.
    Full,
    /// The block was freed while it was being written.
    Freed,
}

/// Something to be done by the program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Write the upload's bytes to the staging folder.
    Stage {
        /// The upload.
        upload: UploadId,
        /// Generation that names the file.
        generation: Generation,
    },
    /// Commit the staged bytes.
    Commit {
        /// The upload.
        upload: UploadId,
        /// Generation that names the file.
        generation: Generation,
    },
    /// The upload is stored and readable.
    Stored {
        /// The upload.
        upload: UploadId,
    },
    /// The upload is refused.
    Reject {
        /// The upload.
        upload: UploadId,
        /// Why.
        why: Rejection,
    },
    /// Send the block to a reader.
    Serve {
        /// The reader.
        reader: ReaderId,
        /// Generation to read.
        generation: Generation,
        /// Whether its bytes are in memory.
        cached: bool,
    },
    /// Tell a reader that the block is not held.
    Miss {
        /// The reader.
        reader: ReaderId,
    },
    /// Keep the bytes at hand in memory.
    Cache {
        /// The generation.
        generation: Generation,
    },
    /// Drop the bytes from memory.
    Uncache {
        /// The generation.
        generation: Generation,
    },
    /// Record durably that a generation whose bytes still exist is freed.
    Bury {
        /// The generation.
        generation: Generation,
    },
    /// Make earlier removals of a block survive a power cut.
    Sync {
        /// Key of the block.
        key: BlockKey,
    },
    /// Remove the bytes of a generation.
    Remove {
        /// The generation.
        generation: Generation,
        /// Key in the file's name.
        key: BlockKey,
        /// Whether the caller is told only after the removal survives a power cut.
        durable: bool,
    },
}
