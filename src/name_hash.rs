//! Hashes that stand for names in messages between entries.

/// First 32 bits of the BLAKE3 hash of a name, the same in every process.
#[must_use]
pub fn name_hash(name: &str) -> u32 {
    let hash = blake3::hash(name.as_bytes());
    let prefix = hash.as_bytes().first_chunk::<4>().copied();
    u32::from_le_bytes(prefix.unwrap_or_default())
}

/// Hash of a name as text, for logs that must not show the name.
#[must_use]
pub fn hash_label(name: &str) -> String {
    format!("{:08x}", name_hash(name))
}
