//! Keys derived from the secret that all entries share.

use std::fmt;
use std::io;

use crate::prefix_keys::BlockKey;
use crate::prelude::*;

/// Shortest accepted secret, in bytes.
const MIN_SECRET_BYTES: usize = 32;
/// Hexadecimal digits of the MAC in an event id: 128 bits.
const EVENT_ID_MAC_HEX_DIGITS: usize = 32;

/// Keys derived from the shared secret (BLAKE3 key derivation).
#[derive(Clone)]
pub struct Secret {
    /// Hash key with which block keys are derived.
    prompt_blocks: [u8; 32],
    /// Hash key of the MACs that peers exchange in their handshake.
    peer_handshake: [u8; 32],
    /// Hash key of the MACs in event ids.
    event_ids: [u8; 32],
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Derives the keys from the shared secret `bytes`.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        Self {
            prompt_blocks: blake3::derive_key("guavahold 2026 block keys", bytes),
            peer_handshake: blake3::derive_key("guavahold 2026 peer handshake", bytes),
            event_ids: blake3::derive_key("guavahold 2026 run ids", bytes),
        }
    }

    /// Reads the shared secret from a file, without surrounding white space.
    ///
    /// # Errors
    /// When the file cannot be read or holds fewer than 32 bytes.
    pub fn open(path: &str) -> io::Result<Self> {
        let bytes = std::fs::read(path)?;
        let bytes = bytes.trim_ascii();
        if bytes.len() < MIN_SECRET_BYTES {
            let detail = "the secret must have at least 32 bytes";
            return Err(io::Error::new(io::ErrorKind::InvalidData, detail));
        }
        Ok(Self::new(bytes))
    }

    /// Hash key with which block keys are derived.
    pub(crate) fn block_hash_key(&self) -> &[u8; 32] {
        &self.prompt_blocks
    }

    /// MAC of an entry's name and the random number `boot` of its process; it proves to a peer that
    /// the entry knows the secret.
    #[must_use]
    pub fn peer_proof(&self, name: &str, boot: u64) -> String {
        let mut hasher = blake3::Hasher::new_keyed(&self.peer_handshake);
        hasher.update(&boot.to_le_bytes());
        hasher.update(name.as_bytes());
        hasher.finalize().to_hex().to_string()
    }

    /// MAC in the id of a streamed event, over the parts of the id and the request's fingerprint;
    /// it makes an id useless to other customers and for other requests.
    #[must_use]
    pub fn event_id_mac(&self, parts: &[&str], fingerprint: &BlockKey) -> Name {
        let mut hasher = blake3::Hasher::new_keyed(&self.event_ids);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(fingerprint.as_bytes());
        hasher.finalize().to_hex().as_str()[..EVENT_ID_MAC_HEX_DIGITS].into()
    }
}
