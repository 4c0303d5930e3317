//! Ranking of entries by rendezvous hashing.

use std::cmp::Reverse;

/// Entries of a failure domain that are its bridges, which link to other domains.
pub const BRIDGES_PER_DOMAIN: usize = 2;

/// Sort key that ranks entries for `subject`, such as a failure domain or a target, best first
/// (highest random weight hashing).
#[must_use]
pub fn rendezvous_key(subject: &str, name: &str) -> Reverse<[u8; 8]> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(subject.len() as u64).to_le_bytes());
    hasher.update(subject.as_bytes());
    hasher.update(name.as_bytes());
    let mut key = [0; 8];
    hasher.finalize_xof().fill(&mut key);
    Reverse(key)
}

/// Rank of `own` for `subject` among itself and `others`; the best rank is zero.
#[must_use]
pub fn rendezvous_rank<'a>(
    subject: &str,
    own: &str,
    others: impl Iterator<Item = &'a str>,
) -> usize {
    let key = rendezvous_key(subject, own);
    others
        .filter(|name| *name != own && rendezvous_key(subject, name) < key)
        .count()
}
