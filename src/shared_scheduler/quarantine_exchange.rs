//! What entries tell each other of requests that crash targets.

use crate::prelude::*;
use crate::scheduler::{Event, SuspectRequest};
use crate::shared_scheduler::SharedScheduler;
use crate::telemetry::LogValue;

/// Most suspected and quarantined requests of which a peer that asks is told.
const MAX_SUSPECTS_TOLD: usize = 256;

/// The schedulers of an entry, which all know the same of requests that crash targets.
pub struct QuarantineExchange<'a> {
    schedulers: SmallVec<[&'a SharedScheduler; 2]>,
}

impl<'a> QuarantineExchange<'a> {
    /// Makes the exchange of an entry with these schedulers, of which there is at least one.
    pub fn new(schedulers: impl IntoIterator<Item = &'a SharedScheduler>) -> Self {
        Self {
            schedulers: schedulers.into_iter().collect(),
        }
    }

    /// Passes what one scheduler or a peer found to all schedulers.
    pub fn submit(&self, suspect: &SuspectRequest) {
        for scheduler in &self.schedulers {
            scheduler.submit(Event::Quarantine(suspect.clone()));
        }
    }

    /// What a peer that asks is told, the latest requests first.
    #[must_use]
    pub fn suspects(&self, peer: &str) -> Vec<SuspectRequest> {
        let schedulers = self.schedulers.iter();
        let known = schedulers.flat_map(|s| s.suspects(MAX_SUSPECTS_TOLD));
        let mut suspects: Vec<SuspectRequest> = Vec::new();
        for suspect in known {
            let mut told = suspects.iter();
            if told.all(|told| told.fingerprint != suspect.fingerprint) {
                suspects.push(suspect);
            }
        }
        suspects.truncate(MAX_SUSPECTS_TOLD);
        let count = suspects.len();
        let peer = LogValue(peer);
        log::info!("event=suspect_requests_told peer={peer} count={count}");
        suspects
    }

    /// Applies what a peer has told.
    pub fn apply_suspects(&self, peer: &str, suspects: &[SuspectRequest]) {
        let count = suspects.len();
        let quarantined = suspects.iter().filter(|s| s.is_quarantined()).count();
        log::info!(
            "event=suspect_requests_heard peer={} count={count} quarantined={quarantined}",
            LogValue(peer)
        );
        for suspect in suspects {
            self.submit(suspect);
        }
    }

    /// Applies a peer's notice; returns what the peer has missed if it only suspects a request that is
    /// quarantined here.
    #[must_use]
    pub fn apply_notice(&self, suspect: &SuspectRequest) -> Option<SuspectRequest> {
        self.submit(suspect);
        if suspect.is_quarantined() {
            return None;
        }
        let mut schedulers = self.schedulers.iter();
        schedulers.find_map(|s| s.quarantined(&suspect.fingerprint))
    }
}
