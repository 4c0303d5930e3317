//! Which entry of a failure domain gathers the words of the others.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::prelude::*;

/// Silence after which another entry is made the hub.
const SILENT: Duration = Duration::from_secs(1);
/// Time for which a hub that was silent is passed over; links to one that is gone end sooner.
const PASSED_OVER: Duration = Duration::from_secs(10);

/// An entry that may be a hub.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HubPeer {
    /// Name.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Share of a processor that its VM has, in thousandths; zero when unknown.
    pub power: u32,
}

impl HubPeer {
    /// Order in which the entries of a failure domain are made its hub: the strongest VM first, and
    /// of equal ones the same at every entry.
    fn rank(&self) -> (Reverse<u32>, [u8; 8], &Name) {
        let hash = blake3::hash(format!("{} {}", self.domain, self.name).as_bytes());
        let word = hash.as_bytes().first_chunk::<8>().copied();
        (Reverse(self.power), word.unwrap_or_default(), &self.name)
    }
}

/// One entry's choice of hubs, by its own view of who is live; entries that choose differently for a
/// while count no load twice, since each tells its own to one hub only.
#[derive(Debug, Default)]
pub struct Hubs {
    relied_on: Option<(Name, Timestamp)>,
    passed_over: HashMap<Name, Timestamp>,
}

impl Hubs {
    /// Takes note of a word of the hub.
    pub fn heard(&mut self, now: Timestamp, hub: &str) {
        if let Some((name, at)) = &mut self.relied_on
            && **name == *hub
        {
            *at = now;
        }
    }

    /// The hub that this entry relies on now, unless it is one itself.
    #[must_use]
    pub fn relied_on(&self) -> Option<&Name> {
        self.relied_on.as_ref().map(|(name, _)| name)
    }

    /// Chooses the hub of the own failure domain; `None` when that is this entry.
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

    /// The hubs of the other failure domains: those `heard` a short time ago, and where none was, the
    /// entry that should be it.
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
        let chosen = speaking.into_iter().chain(best.into_values());
        chosen.map(|p| p.name.clone()).collect()
    }
}
