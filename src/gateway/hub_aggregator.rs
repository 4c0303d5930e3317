//! Aggregation of entries' statuses into digests by a hub.

use std::collections::BTreeMap;

use crate::context_store::FETCH_LEASE;
use crate::domain_scheduler::DomainHub;
use crate::name_hash::name_hash;
use crate::peer::{GatewayDigest, GatewayStatus, RelayedStoreUpdate};
use crate::prelude::*;

/// Time after which a status or digest expires.
const STATUS_TTL: Duration = Duration::from_millis(1_500);
/// Maximum number of store updates queued for the next digest; an entry that misses some requests
/// the full contents of the store.
const MAX_QUEUED_UPDATES: usize = 512;

/// A message, and when it was received and made.
#[derive(Clone, Debug)]
struct Received<T> {
    at: Timestamp,
    /// Time after which it was made, if known.
    made_after: Option<Timestamp>,
    message: T,
}

impl<T> Received<T> {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now < self.at + STATUS_TTL
    }

    /// Time since it was made, at most; `None` if unknown.
    fn age(&self, now: Timestamp) -> Option<Duration> {
        self.made_after.map(|at| now.saturating_sub(at))
    }
}

/// The latest statuses of the entries of the own failure domain, the latest digests of other hubs,
/// and store updates to forward.
#[derive(Debug, Default)]
pub struct HubAggregator {
    statuses: BTreeMap<Name, Received<GatewayStatus>>,
    digests: BTreeMap<Name, Received<GatewayDigest>>,
    for_hubs: Vec<RelayedStoreUpdate>,
    for_entries: Vec<RelayedStoreUpdate>,
}

impl HubAggregator {
    /// Records the status of an entry of the own failure domain, which was made after `made_after`,
    /// if that is known.
    pub fn record_status(
        &mut self,
        now: Timestamp,
        made_after: Option<Timestamp>,
        entry: &Name,
        status: GatewayStatus,
    ) {
        let received = Received {
            at: now,
            made_after,
            message: status,
        };
        self.statuses.insert(entry.clone(), received);
    }

    /// Records another hub's digest, which was made after `made_after`, if that is known.
    pub fn record_digest(
        &mut self,
        now: Timestamp,
        made_after: Option<Timestamp>,
        hub: &Name,
        digest: GatewayDigest,
    ) {
        let received = Received {
            at: now,
            made_after,
            message: digest,
        };
        self.digests.insert(hub.clone(), received);
    }

    /// Other hubs whose last digest has not expired.
    #[must_use]
    pub fn live_hubs(&self, now: Timestamp) -> Vec<Name> {
        let fresh = self.digests.iter().filter(|(_, d)| d.is_fresh(now));
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
        self.statuses.retain(|_, status| status.is_fresh(now));
        self.digests.retain(|_, digest| digest.is_fresh(now));
        let own_hash = name_hash(&own.entry);
        let mut domain = GatewayDigest::from_status(own_hash, own_status, Some(Duration::ZERO));
        domain.hubs.push(own.clone());
        for (entry, received) in &self.statuses {
            let status = received.message.clone();
            let status = status.aged_by(now.saturating_sub(received.at));
            let age = received.age(now).filter(|age| *age < FETCH_LEASE);
            domain.merge(&GatewayDigest::from_status(name_hash(entry), status, age));
        }
        let mut all = domain.clone();
        for received in self.digests.values() {
            let mut digest = received.message.clone().aged_by(received.age(now));
            digest.merged = digest.merged.aged_by(now.saturating_sub(received.at));
            all.merge(&digest);
        }
        domain.store_updates = std::mem::take(&mut self.for_hubs);
        all.store_updates = std::mem::take(&mut self.for_entries);
        (domain, all)
    }
}

/// Queues an update, in place of those that hold nothing beyond it.
fn push_bounded(queue: &mut Vec<RelayedStoreUpdate>, update: RelayedStoreUpdate) {
    if update.is_full_list() {
        queue.retain(|queued| !update.supersedes(queued));
    }
    if queue.len() < MAX_QUEUED_UPDATES {
        queue.push(update);
    }
}
