//! Selection of the hub of a failure domain: the entry that aggregates the others' statuses.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::gateway::HUB_TIMEOUT;
use crate::prelude::*;
use crate::telemetry::LogValue;

/// Time for which a hub that timed out is not selected again; peers that are gone leave the list of
/// candidates sooner.
const EXCLUSION_PERIOD: Duration = Duration::from_secs(10);

/// An entry that may be selected as a hub.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HubCandidate {
    /// Name of the entry.
    pub name: Name,
    /// Failure domain of the entry.
    pub domain: Name,
    /// CPU share of its VM, in thousandths of a processor; zero when unknown.
    pub cpu_millis: u32,
    /// Whether it is shutting down.
    pub draining: bool,
}

impl HubCandidate {
    /// Order of preference as the hub of a failure domain: the VM with the largest CPU share first,
    /// and equal ones in an order that is the same at every entry; one that shuts down comes last.
    fn rank(&self) -> (bool, Reverse<u32>, [u8; 8], &Name) {
        let hash = blake3::hash(format!("{} {}", self.domain, self.name).as_bytes());
        let hash_start = hash.as_bytes().first_chunk::<8>().copied();
        (
            self.draining,
            Reverse(self.cpu_millis),
            hash_start.unwrap_or_default(),
            &self.name,
        )
    }
}

/// Selects hubs by one entry's view of the live entries. While entries select different hubs, no
/// load is counted twice, since each entry sends its status to one hub only.
#[derive(Debug, Default)]
pub struct HubSelector {
    current: Option<(Name, Timestamp)>,
    excluded: HashMap<Name, Timestamp>,
}

impl HubSelector {
    /// Records that a digest arrived; ignored unless it is from the selected hub.
    pub fn record_digest(&mut self, now: Timestamp, hub: &str) {
        if let Some((name, at)) = &mut self.current
            && **name == *hub
        {
            *at = now;
        }
    }

    /// The selected hub of the own failure domain; `None` if this entry is the hub.
    #[must_use]
    pub fn current(&self) -> Option<&Name> {
        self.current.as_ref().map(|(name, _)| name)
    }

    /// Selects the hub of the own failure domain; `None` if that is this entry.
    pub fn select(
        &mut self,
        now: Timestamp,
        own: &HubCandidate,
        peers: &[HubCandidate],
    ) -> Option<Name> {
        self.excluded.retain(|_, until| now < *until);
        if let Some((name, at)) = &self.current
            && now >= *at + HUB_TIMEOUT
        {
            log::info!("event=hub_silent hub={}", LogValue(name));
            self.excluded.insert(name.clone(), now + EXCLUSION_PERIOD);
            self.current = None;
        }
        let near = peers.iter().filter(|p| p.domain == own.domain);
        let usable = near.filter(|p| !self.excluded.contains_key(&p.name));
        let best = usable.chain([own]).min_by_key(|p| p.rank())?;
        if best.name == own.name {
            self.current = None;
            return None;
        }
        if self.current() != Some(&best.name) {
            log::info!("event=hub_chosen hub={}", LogValue(&best.name));
            self.current = Some((best.name.clone(), now));
        }
        Some(best.name.clone())
    }

    /// The hubs of the other failure domains: those in `active`, which sent digests recently, and
    /// for a failure domain without any, the preferred candidate.
    #[must_use]
    pub fn other_domain_hubs<'a>(
        own: &HubCandidate,
        peers: impl IntoIterator<Item = &'a HubCandidate>,
        active: &[Name],
    ) -> Vec<Name> {
        let far = peers.into_iter().filter(|p| p.domain != own.domain);
        let (known_hubs, others): (Vec<_>, Vec<_>) = far.partition(|p| active.contains(&p.name));
        let mut best: HashMap<&Name, &HubCandidate> = HashMap::new();
        for peer in others {
            let preferred = best.entry(&peer.domain).or_insert(peer);
            if peer.rank() < preferred.rank() {
                *preferred = peer;
            }
        }
        for peer in &known_hubs {
            best.remove(&peer.domain);
        }
        let hubs = known_hubs.into_iter().chain(best.into_values());
        hubs.map(|p| p.name.clone()).collect()
    }
}
