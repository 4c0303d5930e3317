//! Assignment of shards to entries.

use crate::peer::PeerInfo;
use crate::prelude::*;

/// Entries in order of preference as owner of a shard, by rendezvous hashing; draining peers are
/// left out.
///
/// The order only spreads the load. When two entries disagree about the owner, conditional writes
/// on the object's version keep their updates consistent.
#[must_use]
pub fn rank_owners(shard: u32, own: Option<&Name>, live: &[PeerInfo]) -> Vec<Name> {
    let peers = live.iter().filter(|p| !p.draining).map(|p| &p.name);
    let mut all: Vec<_> = peers
        .chain(own)
        .map(|n| (rendezvous_weight(shard, n), n))
        .collect();
    all.sort_unstable_by(|a, b| b.cmp(a));
    all.into_iter().map(|(_, name)| name.clone()).collect()
}

fn rendezvous_weight(shard: u32, entry: &str) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_derive_key("guavahold 2026 claim owner");
    hasher.update(&shard.to_le_bytes());
    hasher.update(entry.as_bytes());
    *hasher.finalize().as_bytes()
}
