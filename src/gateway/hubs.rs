//! Selection of the hub of a failure domain: the entry that aggregates the others' statuses.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::prelude::*;

/// Time without a digest from the hub after which another one is selected.
const SILENT: Duration = Duration::from_secs(1);
/// Time for which a hub that timed out is not selected again; peers that are gone leave the list of
/// candidates sooner.
const PASSED_OVER: Duration = Duration::from_secs(10);

/// An entry that may be selected as a hub.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HubPeer {
    /// Name of the entry.
    pub name: Name,
    /// Failure domain of the entry.
    pub domain: Name,
    /// CPU share of its VM, in thousandths of a processor; zero when unknown.
    pub power: u32,
}

impl HubPeer {
    /// Order of preference as the hub of a failure domain: the VM with the largest CPU share first,
    /// and equal ones in an order that is the same at every entry.
    fn rank(&self) -> (Reverse<u32>, [u8; 8], &Name) {
        let hash = blake3::hash(format!("{} {}", self.domain, self.name).as_bytes());
        let word = hash.as_bytes().first_chunk::<8>().copied();
        (Reverse(self.power), word.unwrap_or_default(), &self.name)
    }
}

/// Selects hubs by one entry's view of the live entries. While entries select different hubs, no
/// load is counted twice, since each entry sends its status to one hub only.
#[derive(Debug, Default)]
pub struct Hubs {
    relied_on: Option<(Name, Timestamp)>,
    passed_over: HashMap<Name, Timestamp>,
}

impl Hubs {
    /// Records that a digest arrived; ignored unless it is from the selected hub.
    pub fn heard(&mut self, now: Timestamp, hub: &str) {
        if let Some((name, at)) = &mut self.relied_on
            && **name == *hub
        {
            *at = now;
        }
    }

    /// The selected hub of the own failure domain; `None` if this entry is the hub.
    #[must_use]
    pub fn relied_on(&self) -> Option<&Name> {
        self.relied_on.as_ref().map(|(name, _)| name)
    }

    /// Selects the hub of the own failure domain; `None` if that is this entry.
    pub fn choose(&mut self, now: Timestamp, own: &HubPeer, peers: &[HubPeer]) -> Option<Name> {
        self.passed_over.retain(|_, until| now < *until);
        if let Some((name, at)) = &self.relied_on
            && now >= *at + SILENT
        {
            log::info!("event=hub_silent hub={name}");
            self.passed_over.insert(name.clone(), now + PASSED_OVER);
            self.relied_on = None;
        }
        let near = peers.iter().filter(|p| p.domain == own.domain);
        let usable = near.filter(|p| !self.passed_over.contains_key(&p.name));
        let best = usable.chain([own]).min_by_key(|p| p.rank())?;
        if best.name == own.name {
            self.relied_on = None;
            return None;
        }
        if self.relied_on() != Some(&best.name) {
            log::info!("event=hub_chosen hub={}", best.name);
            self.relied_on = Some((best.name.clone(), now));
        }
        Some(best.name.clone())
    }

    /// The hubs of the other failure domains: those in `active`, which sent digests recently, and
    /// for a failure domain without any, the preferred candidate.
    #[must_use]
    pub fn others(own: &HubPeer, peers: &[HubPeer], heard: &[Name]) -> Vec<Name> {
        let far = peers.iter().filter(|p| p.domain != own.domain);
        let (speaking, quiet): (Vec<_>, Vec<_>) = far.partition(|p| heard.contains(&p.name));
        let mut best: HashMap<&Name, &HubPeer> = HashMap::new();
        for peer in quiet {
            let known = best.entry(&peer.domain).or_insert(peer);
            if peer.rank() < known.rank() {
                *known = peer;
            }
        }
        for peer in &speaking {
            best.remove(&peer.domain);
        }
        let assignment = speaking.into_iter().chain(best.into_values());
        assignment.map(|p| p.name.clone()).collect()
    }
}
