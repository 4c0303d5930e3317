//! What the rest of an entry needs of its peers.

use futures_lite::future::Boxed;

use crate::claim::{ClaimError, ClaimRequest, ClaimVerdict};
use crate::peer::PeerMessage;
use crate::prelude::*;

/// A live peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerInfo {
    /// Name of the entry.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Catalog revision that it reported last.
    pub revision: u64,
    /// Time since that revision came into force there, in milliseconds.
    pub since_ms: u64,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// Links to live peers.
pub trait PeerLinks: Send + Sync {
    /// Peers with a working link, sorted by name; the own entry is not among them.
    fn live(&self) -> Vec<PeerInfo>;
    /// Sends a message to one peer; `false` when there is no link or its queue is full.
    fn send(&self, to: &str, message: PeerMessage) -> bool;
    /// Sends a message to every peer with a link.
    fn broadcast(&self, message: &PeerMessage);
    /// Sets what the next heartbeats say of the catalog: its revision, the time since it came into
    /// force, and whether this entry follows it at the platform.
    fn announce(&self, revision: u64, since: Duration, watching: bool) {
        let _ = (revision, since, watching);
    }
    /// Has the owner of a shard commit a claim; `None` when the link was lost or too slow, so that
    /// the claim may or may not have been committed.
    fn claim(
        &self,
        owner: &str,
        claimant: Name,
        req: ClaimRequest,
    ) -> Boxed<Option<Result<ClaimVerdict, ClaimError>>>;
}

/// Receives what peers send; called on the control thread and not blocking.
pub trait PeerEvents: Send + Sync {
    /// A message arrived.
    fn on_message(&self, from: &PeerInfo, message: PeerMessage);
    /// The set of live peers changed.
    fn on_change(&self, live: &[PeerInfo]);
}
