//! Rendezvous ranking of the entries of a failure domain.

use std::cmp::Reverse;

/// Entries of a failure domain that are its bridges, which link to other domains.
pub const BRIDGES_PER_DOMAIN: usize = 2;

/// Sort key that ranks the entries of a domain, best first (highest random weight hashing).
#[must_use]
pub fn rendezvous_key(domain: &str, name: &str) -> Reverse<[u8; 8]> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(domain.len() as u64).to_le_bytes());
    hasher.update(domain.as_bytes());
    hasher.update(name.as_bytes());
    let mut key = [0; 8];
    hasher.finalize_xof().fill(&mut key);
    Reverse(key)
}

/// Rank of `own` among itself and `others`; the best rank is zero.
#[must_use]
pub fn rendezvous_rank<'a>(
    domain: &str,
    own: &str,
    others: impl Iterator<Item = &'a str>,
) -> usize {
    let key = rendezvous_key(domain, own);
    others
        .filter(|name| *name != own && rendezvous_key(domain, name) < key)
        .count()
}
