//! The question which blocks of a prefix a store holds.

use serde::{Deserialize, Serialize};

use crate::cache::BlockKey;
use crate::prelude::*;

/// Body of `POST /held`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldRequest {
    /// Text of a probe ticket for the first key.
    pub ticket: String,
    /// Keys of a prompt's whole blocks, first block first.
    pub keys: Vec<BlockKey>,
}

/// What a store holds of a prefix and how busy its link is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Consecutive blocks held from the first key on.
    #[serde(rename = "held")]
    pub blocks: u32,
    /// Bytes that a new interactive fetch waits behind.
    pub queue_bytes: u64,
    /// Speed of the link, in bytes per second.
    pub link_bytes_per_second: u64,
    /// Mean size of the held blocks, in bytes.
    pub block_bytes: u64,
}

impl Held {
    /// Predicted time until `blocks` blocks have crossed the link.
    #[must_use]
    pub fn fetch_time(&self, blocks: u32) -> Duration {
        let bytes = self.queue_bytes + u64::from(blocks) * self.block_bytes;
        let rate = self.link_bytes_per_second.max(1);
        let micros = u128::from(bytes) * 1_000_000 / u128::from(rate);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
