//! Links of an entry without peers.

use futures_lite::future::Boxed;
use guavahold::claim::{ClaimError, ClaimRequest, ClaimVerdict};
use guavahold::peer::{PeerInfo, PeerLinks, PeerMessage};
use guavahold::prelude::*;

/// An entry without peers.
pub struct NoPeers;

impl PeerLinks for NoPeers {
    fn live(&self) -> Vec<PeerInfo> {
        Vec::new()
    }

    fn send(&self, _: &str, _: PeerMessage) -> bool {
        false
    }

    fn broadcast(&self, _: &PeerMessage) {}

    fn claim(
        &self,
        _: &str,
        _: Name,
        _: ClaimRequest,
    ) -> Boxed<Option<Result<ClaimVerdict, ClaimError>>> {
        Box::pin(async { None })
    }
}
