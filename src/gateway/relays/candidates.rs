//! Choice of the peers that are asked to relay a connection.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::gateway::relays::{RelayCandidate, RelayPeer};
use crate::name_hash::name_hash;
use crate::prelude::*;
use crate::residency::AllowedDomains;

/// The peers that may relay connections to targets.
#[derive(Debug)]
pub struct RelayCandidates {
    domain: Name,
    candidates: Mutex<Vec<Arc<RelayCandidate>>>,
}

impl RelayCandidates {
    /// Makes an empty set for an entry of a failure domain.
    #[must_use]
    pub fn new(domain: Name) -> Self {
        Self {
            domain,
            candidates: Mutex::default(),
        }
    }

    /// Replaces the live peers; what is known of those that stay is kept.
    pub fn set_peers(&self, peers: Vec<RelayPeer>) {
        let mut candidates = self.lock();
        let known = std::mem::take(&mut *candidates);
        let same = |peer: &RelayPeer| {
            let mut known = known.iter();
            known.find(|c| c.peer.name == peer.name && c.peer.address == peer.address)
        };
        let next = peers.into_iter().map(|peer| match same(&peer) {
            Some(candidate) => candidate.clone(),
            None => Arc::new(RelayCandidate::new(peer)),
        });
        *candidates = next.collect();
        // Counts start anew, so that a peer that has joined is not asked for all connections.
        for candidate in &*candidates {
            candidate.reset_opened();
        }
    }

    /// Records peers that say that they are cut off from most targets, by the hashes of their names.
    pub fn record_cut_off(&self, now: Timestamp, names: &[u32]) {
        if names.is_empty() {
            return;
        }
        for candidate in &*self.lock() {
            if names.contains(&name_hash(&candidate.peer.name)) {
                candidate.record_cut_off(now);
            }
        }
    }

    /// Whether there is a live peer that did not say that it is cut off from most targets.
    #[must_use]
    pub fn has_reaching_peer(&self, now: Timestamp) -> bool {
        self.lock().iter().any(|c| !c.is_cut_off(now))
    }

    /// The candidates in the failure domains `allowed`, if any are named, in the order in which they
    /// are asked.
    #[must_use]
    pub fn ranked(
        &self,
        now: Timestamp,
        allowed: Option<&AllowedDomains>,
    ) -> Vec<Arc<RelayCandidate>> {
        let candidates = self.lock().clone();
        let mut ranked: Vec<_> = candidates
            .into_iter()
            .filter(|c| allowed.is_none_or(|a| a.contains(&c.peer.domain)))
            .map(|c| (c.rank(now, &self.domain), c))
            .collect();
        ranked.sort_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        ranked.into_iter().map(|(_, c)| c).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<RelayCandidate>>> {
        self.candidates
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
