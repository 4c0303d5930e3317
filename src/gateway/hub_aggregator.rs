//! Aggregation of entries' statuses into digests by a hub.

use std::collections::BTreeMap;

use crate::domain_scheduler::DomainHub;
use crate::name_hash::name_hash;
use crate::peer::{GatewayDigest, GatewayStatus, RelayedStoreUpdate};
use crate::prelude::*;

/// Time after which a status or digest expires.
const STATUS_TTL: Duration = Duration::from_millis(1_500);
/// Maximum number of store updates queued for the next digest; an entry that misses some requests
/// the full contents of the store.
const MAX_QUEUED_UPDATES: usize = 512;

/// The latest statuses of the entries of the own failure domain, the latest digests of other hubs,
/// and store updates to forward.
#[derive(Debug, Default)]
pub struct HubAggregator {
    statuses: BTreeMap<Name, (Timestamp, GatewayStatus)>,
    digests: BTreeMap<Name, (Timestamp, GatewayDigest)>,
    for_hubs: Vec<RelayedStoreUpdate>,
    for_entries: Vec<RelayedStoreUpdate>,
}

impl HubAggregator {
    /// Records the status of an entry of the own failure domain.
    pub fn record_status(&mut self, now: Timestamp, entry: &Name, status: GatewayStatus) {
        self.statuses.insert(entry.clone(), (now, status));
    }

    /// Records another hub's digest.
    pub fn record_digest(&mut self, now: Timestamp, hub: &Name, digest: GatewayDigest) {
        self.digests.insert(hub.clone(), (now, digest));
    }

    /// Other hubs whose last digest has not expired.
    #[must_use]
    pub fn live_hubs(&self, now: Timestamp) -> Vec<Name> {
        let fresh = self
            .digests
            .iter()
            .filter(|(_, (at, _))| now < *at + STATUS_TTL);
        fresh.map(|(hub, _)| hub.clone()).collect()
    }

    /// Queues a store update from the own failure domain for the other hubs and the entries.
    pub fn queue_for_all(&mut self, update: RelayedStoreUpdate) {
        push_bounded(&mut self.for_hubs, update.clone());
        push_bounded(&mut self.for_entries, update);
    }

    /// Queues a store update from another hub for the entries of the own failure domain.
    pub fn queue_for_entries(&mut self, update: RelayedStoreUpdate) {
        push_bounded(&mut self.for_entries, update);
    }

    /// Removes everything, such as when another entry becomes the hub.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Builds the digest of the own failure domain for the other hubs, and the digest of all
    /// failure domains for the own entries; empties the queues of store updates.
    pub fn digests(
        &mut self,
        now: Timestamp,
        own: &DomainHub,
        own_status: GatewayStatus,
    ) -> (GatewayDigest, GatewayDigest) {
        self.statuses.retain(|_, (at, _)| now < *at + STATUS_TTL);
        self.digests.retain(|_, (at, _)| now < *at + STATUS_TTL);
        let mut domain = GatewayDigest::from_status(name_hash(&own.entry), own_status);
        domain.hubs.push(own.clone());
        for (entry, (at, status)) in &self.statuses {
            let status = status.clone().aged_by(now.saturating_sub(*at));
            domain.merge(&GatewayDigest::from_status(name_hash(entry), status));
        }
        let mut all = domain.clone();
        for (at, digest) in self.digests.values() {
            let mut digest = digest.clone();
            digest.merged = digest.merged.aged_by(now.saturating_sub(*at));
            all.merge(&digest);
        }
        domain.store_updates = std::mem::take(&mut self.for_hubs);
        all.store_updates = std::mem::take(&mut self.for_entries);
        (domain, all)
    }
}

fn push_bounded(queue: &mut Vec<RelayedStoreUpdate>, update: RelayedStoreUpdate) {
    if queue.len() < MAX_QUEUED_UPDATES {
        queue.push(update);
    }
}
