//! Keys of prompt blocks, derived from customer, weight version and text.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::secret::Secret;

/// Tokens in one full block of a prompt.
pub const TOKENS_PER_BLOCK: u32 = 1024;
/// Bytes of prompt text estimated as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes of prompt text in one full block.
const BYTES_PER_BLOCK: usize = TOKENS_PER_BLOCK as usize * BYTES_PER_TOKEN;

/// Estimates the number of tokens in `bytes` bytes of prompt text, rounded up.
#[must_use]
pub fn estimate_tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

/// Key of one full block of a prompt, 32 bytes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct BlockKey([u8; 32]);

impl BlockKey {
    /// The first bytes as a number, by which prompts are placed.
    #[must_use]
    pub fn placement_hash(&self) -> u64 {
        let first = self.0.first_chunk::<8>().copied();
        u64::from_le_bytes(first.unwrap_or_default())
    }

    /// Makes a key from its raw bytes.
    #[must_use]
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Raw bytes of the key.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for BlockKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(blake3::Hash::from_bytes(self.0).to_hex().as_str())
    }
}

impl fmt::Debug for BlockKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hex = blake3::Hash::from_bytes(self.0).to_hex();
        write!(f, "BlockKey({})", &hex.as_str()[..12])
    }
}

impl FromStr for BlockKey {
    type Err = blake3::HexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        blake3::Hash::from_hex(text).map(|h| Self(*h.as_bytes()))
    }
}

impl TryFrom<String> for BlockKey {
    type Error = blake3::HexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<BlockKey> for String {
    fn from(key: BlockKey) -> Self {
        key.to_string()
    }
}

/// Keys of a prompt's full blocks, each derived from the key of the block before it.
///
/// A key is a keyed BLAKE3 hash of the parent key and the block's text. The first block's parent is
/// a hash of customer, weight version and adapter, so that blocks of different customers or weight
/// versions never share a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixKeys {
    /// Parent key of the first block, from customer, weight version and adapter.
    pub root: BlockKey,
    /// Keys of the full blocks in order.
    pub keys: Vec<BlockKey>,
}

impl PrefixKeys {
    /// Derives the keys of `prompt` for one customer, weight version and adapter.
    #[must_use]
    pub fn derive(
        secret: &Secret,
        customer: &str,
        weights: &str,
        adapter: &str,
        prompt: &[u8],
    ) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(secret.block_hash_key());
        for part in [customer, weights, adapter] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let root = BlockKey(*hasher.finalize().as_bytes());
        let mut parent = root;
        let mut keys = Vec::with_capacity(prompt.len() / BYTES_PER_BLOCK);
        for block in prompt.chunks_exact(BYTES_PER_BLOCK) {
            let mut hasher = blake3::Hasher::new_keyed(secret.block_hash_key());
            hasher.update(&parent.0);
            hasher.update(block);
            parent = BlockKey(*hasher.finalize().as_bytes());
            keys.push(parent);
        }
        Self { root, keys }
    }

    /// Key that placement hashes: the first block's, or the root of a prompt without full blocks.
    #[must_use]
    pub fn affinity_key(&self) -> BlockKey {
        self.keys.first().copied().unwrap_or(self.root)
    }

    /// Number of full blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the prompt has no full block.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
