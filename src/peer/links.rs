//! Interfaces between the links and the rest of an entry.

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
    /// Catalog revision in its last heartbeat.
    pub revision: u64,
    /// Time since that revision came into force there, in milliseconds.
    pub since_ms: u64,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// Links to live peers.
pub trait PeerLinks: Send + Sync {
    /// Peers with a working link, sorted by name, without this entry.
    fn live(&self) -> Vec<PeerInfo>;
    /// Queues a message for one peer; `false` when there is no link or its queue is full.
    fn send(&self, to: &str, message: PeerMessage) -> bool;
    /// Queues a message for every peer with a link; peers whose queue is full do not get it.
    fn broadcast(&self, message: &PeerMessage);
    /// Sets the catalog status of the next heartbeats: the revision in force, the time since it
    /// came into force, and whether this entry watches the catalog at the platform.
    fn announce(&self, revision: u64, since: Duration, watching: bool) {
        let _ = (revision, since, watching);
    }
    /// Forwards a claim to the owner of its shard. `None` when there is no link or its queue is
    /// full, and when the link was lost or the reply timed out; in the last two cases the claim may
    /// have been committed.
    fn claim(
        &self,
        owner: &str,
        claimant: Name,
        req: ClaimRequest,
    ) -> Boxed<Option<Result<ClaimVerdict, ClaimError>>>;
}

/// Handler of peers' messages and of membership changes, called on the control thread; it must not
/// block.
pub trait PeerEvents: Send + Sync {
    /// A message arrived.
    fn on_message(&self, from: &PeerInfo, message: PeerMessage);
    /// The set of live peers changed.
    fn on_change(&self, live: &[PeerInfo]);
}
