//! What a hub has heard and passes on.

use std::collections::BTreeMap;

use crate::name_hash::name_hash;
use crate::peer::{GatewayDigest, GatewayStatus, RelayedStoreUpdate};
use crate::prelude::*;

/// Age from which a word or digest no longer counts.
const STALE: Duration = Duration::from_millis(1_500);
/// News that wait for the next digest at most; an entry that misses some asks for all.
const MOST_NEWS: usize = 512;

/// The newest words of the own failure domain's entries and digests of other hubs.
#[derive(Debug, Default)]
pub struct Gatherer {
    words: BTreeMap<Name, (Timestamp, GatewayStatus)>,
    digests: BTreeMap<Name, (Timestamp, GatewayDigest)>,
    for_hubs: Vec<RelayedStoreUpdate>,
    for_entries: Vec<RelayedStoreUpdate>,
}

impl Gatherer {
    /// Takes the word of an entry of the own failure domain.
    pub fn take_word(&mut self, now: Timestamp, entry: &Name, word: GatewayStatus) {
        self.words.insert(entry.clone(), (now, word));
    }

    /// Takes another hub's digest.
    pub fn take_digest(&mut self, now: Timestamp, hub: &Name, digest: GatewayDigest) {
        self.digests.insert(hub.clone(), (now, digest));
    }

    /// Other hubs that were heard a short time ago.
    #[must_use]
    pub fn hubs(&self, now: Timestamp) -> Vec<Name> {
        let fresh = self.digests.iter().filter(|(_, (at, _))| now < *at + STALE);
        fresh.map(|(hub, _)| hub.clone()).collect()
    }

    /// Takes news from the own failure domain.
    pub fn pass_to_all(&mut self, news: RelayedStoreUpdate) {
        push(&mut self.for_hubs, news.clone());
        push(&mut self.for_entries, news);
    }

    /// Takes news that another hub told.
    pub fn pass_to_entries(&mut self, news: RelayedStoreUpdate) {
        push(&mut self.for_entries, news);
    }

    /// Forgets everything, as when another entry becomes the hub.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Puts together what other hubs are told, and what the own failure domain is told.
    pub fn digests(
        &mut self,
        now: Timestamp,
        own: &str,
        own_word: GatewayStatus,
    ) -> (GatewayDigest, GatewayDigest) {
        self.words.retain(|_, (at, _)| now < *at + STALE);
        self.digests.retain(|_, (at, _)| now < *at + STALE);
        let mut domain = GatewayDigest::from_status(name_hash(own), own_word);
        for (entry, (_, word)) in &self.words {
            domain.merge(&GatewayDigest::from_status(name_hash(entry), word.clone()));
        }
        let mut all = domain.clone();
        for (_, digest) in self.digests.values() {
            all.merge(digest);
        }
        domain.store_updates = std::mem::take(&mut self.for_hubs);
        all.store_updates = std::mem::take(&mut self.for_entries);
        (domain, all)
    }
}

fn push(queue: &mut Vec<RelayedStoreUpdate>, news: RelayedStoreUpdate) {
    if queue.len() < MOST_NEWS {
        queue.push(news);
    }
}
