//! Peers through which targets are reached that this entry does not reach itself.

mod candidate;
mod candidates;
mod peer;

use std::sync::OnceLock;

use futures_lite::FutureExt;

use crate::clock::{coarse_sleep, time_since_boot};
use crate::gateway::target_stream::TargetStream;
use crate::peer::{Mesh, RelayError, RelayFailure};
use crate::prelude::*;
use crate::residency::AllowedDomains;
use crate::telemetry::LogValue;

pub use candidate::RelayCandidate;
pub use candidates::RelayCandidates;
pub use peer::RelayPeer;

/// Most peers that are asked for one connection.
const MAX_TRIES: usize = 6;
/// Longest time for all of them together.
const TOTAL_TIMEOUT: Duration = Duration::from_millis(900);

/// Why no peer connects to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoRelay {
    /// Peers that reach other targets find it refusing connections.
    Refused,
    /// Connections of such a peer time out.
    TimedOut,
    /// No peer could tell.
    Unknown,
    /// There is no other entry.
    Alone,
}

/// The peers that may relay connections to targets, and the links to them.
pub(crate) struct Relays {
    mesh: OnceLock<Arc<Mesh>>,
    candidates: RelayCandidates,
}

impl Relays {
    /// Makes an empty set for an entry of a failure domain.
    pub(crate) fn new(domain: Name) -> Self {
        Self {
            mesh: OnceLock::new(),
            candidates: RelayCandidates::new(domain),
        }
    }

    /// Sets the mesh whose identity the connections use; only the first call has an effect.
    pub(crate) fn set_mesh(&self, mesh: Arc<Mesh>) {
        let _ = self.mesh.set(mesh);
    }

    /// Replaces the live peers; what is known of those that stay is kept.
    pub(crate) fn set_peers(&self, peers: Vec<RelayPeer>) {
        self.candidates.set_peers(peers);
    }

    /// Records peers that say that they are cut off from most targets, by the hashes of their names.
    pub(crate) fn record_cut_off(&self, names: &[u32]) {
        self.candidates.record_cut_off(time_since_boot(), names);
    }

    /// Whether there is a live peer that did not say that it is cut off from most targets.
    pub(crate) fn has_reaching_peer(&self) -> bool {
        self.candidates.has_reaching_peer(time_since_boot())
    }

    /// Connects to a target through a peer, which sees what is sent; only peers in the failure
    /// domains `allowed` are asked, if any are named.
    pub(crate) async fn open(
        &self,
        target: &Name,
        allowed: Option<&AllowedDomains>,
    ) -> Result<TargetStream, NoRelay> {
        let timeout = async {
            coarse_sleep(TOTAL_TIMEOUT).await;
            Err(NoRelay::Unknown)
        };
        self.open_without_timeout(target, allowed).or(timeout).await
    }

    async fn open_without_timeout(
        &self,
        target: &Name,
        allowed: Option<&AllowedDomains>,
    ) -> Result<TargetStream, NoRelay> {
        let candidates = self.candidates.ranked(time_since_boot(), allowed);
        let Some(mesh) = self.mesh.get().filter(|_| !candidates.is_empty()) else {
            return Err(NoRelay::Alone);
        };
        for candidate in candidates.into_iter().take(MAX_TRIES) {
            let peer = &candidate.peer;
            candidate.record_opened();
            let err = match mesh.open_relay(peer.address, target).await {
                Ok(stream) => {
                    return Ok(TargetStream::Relayed {
                        peer: peer.name.clone(),
                        domain: peer.domain.clone(),
                        stream,
                    });
                }
                Err(err) => err,
            };
            log::debug!(
                "event=relay_failed target={} peer={} error={err:?}",
                LogValue(target),
                LogValue(&peer.name)
            );
            let now = time_since_boot();
            match err {
                RelayError::Peer => candidate.record_silent(now),
                RelayError::Target(RelayFailure::CutOff) => candidate.record_cut_off(now),
                // They come from a peer that has just reached another target.
                RelayError::Target(RelayFailure::Refused) => return Err(NoRelay::Refused),
                RelayError::Target(RelayFailure::TimedOut) => return Err(NoRelay::TimedOut),
                RelayError::Target(RelayFailure::Unavailable) => {}
            }
        }
        Err(NoRelay::Unknown)
    }
}
