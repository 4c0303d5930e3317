//! State of a gateway's control tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use crate::context_store::{FetchLease, RetirementTracker};
use crate::gateway::control::CallerLimitReport;
use crate::gateway::control::warm_ups::WarmUpState;
use crate::gateway::{
    AbsentEntries, DeclaredWeights, Decoder, Evacuations, HubAggregator, HubCandidate, HubSelector,
    LoadTable, ROUND_TRIP_INTERVAL, RegisteredTarget, TargetLoad, TargetTable, UnlistedEntries,
    WatchedKind, WeightVersions,
};
use crate::name_hash::name_hash;
use crate::peer::{JoinQuestions, PeerInfo, RoundTrip, RoundTripClock};
use crate::platform::Vm;
use crate::prelude::*;
use crate::rollout::{RolloutPlanner, RolloutSettings, RolloutTarget};
use crate::store_view::{KindView, ObjectCache};
use crate::stream_origin::StreamOrigin;

/// Time after which a peer's list of cordoned targets expires.
const PEER_CORDON_TTL: Duration = Duration::from_millis(2_500);

/// Maximum number of entries that send their status to all peers. Their load reports are recent
/// enough that requests wait at the entries and never at targets.
const MAX_ENTRIES_WITHOUT_HUBS: usize = 10;

/// Number of kinds of objects.
const KINDS: usize = WatchedKind::ALL.len();

/// State of a gateway's control tasks.
pub(crate) struct State {
    /// What this entry knows of the platform store's objects, by kind.
    pub views: [KindView; KINDS],
    /// Failure domains to whose targets nothing may be sent.
    pub evacuations: Evacuations,
    /// Whether the targets are kept from the schedulers because the evacuations are not known yet.
    pub targets_withheld: bool,
    /// Registered targets.
    pub targets: TargetTable,
    /// Declared and available weight versions.
    pub versions: WeightVersions,
    /// Load reports of peers.
    pub loads: LoadTable,
    /// Agreement of the entries on stored context that none of them fetches any more.
    pub retirement: RetirementTracker,
    /// Listed entries that are out of touch.
    pub absent_entries: AbsentEntries,
    /// Entries that were met but are not listed.
    pub unlisted_entries: UnlistedEntries,
    /// Bounds the questions to peers that are found.
    pub join_questions: JoinQuestions,
    /// How recent the messages of peers are.
    pub round_trips: RoundTripClock,
    /// When the status last proved how recent it is, in a small system; `None` if a peer that was
    /// found waits for it.
    round_trip_sent_at: Option<Timestamp>,
    /// Whether stored context may be fetched, when that was last logged.
    pub may_fetch: bool,
    /// Whether declared weights were read before; those in the first listing may have been declared
    /// long ago.
    weights_read: bool,
    /// Planner of the rollout of new weights.
    pub rollout: RolloutPlanner,
    /// Weight versions that targets reported and when, by the hash of the target's name.
    pub(super) reported_versions: BTreeMap<u32, (u64, Timestamp)>,
    /// Hashes of the targets that each peer has cordoned, and when it reported them.
    peer_cordons: HashMap<Name, (Timestamp, Vec<u32>)>,
    /// Targets that get no new work because their weight version is unknown, and until when.
    paused_targets: HashMap<Name, Timestamp>,
    /// Origins of streams that the next status tells the peers of a small system.
    pub new_origins: Vec<StreamOrigin>,
    /// Targets of whose limits the schedulers have shares.
    pub limited_targets: BTreeSet<Name>,
    /// Warm-ups of cold targets.
    pub warm_ups: WarmUpState,
    /// Live entries that are not draining, excluding this one.
    pub peers: Vec<Name>,
    /// The entries in `peers`, as candidates for hubs.
    pub hub_candidates: Vec<HubCandidate>,
    /// Live entries that are draining. What they have retired counts until they end.
    pub draining_peers: Vec<HubCandidate>,
    /// Selects the hub in a large system.
    pub hub_selector: HubSelector,
    /// Collects statuses and digests while this entry is a hub.
    pub aggregator: HubAggregator,
    /// Own loads in the last status sent to the hub.
    pub loads_sent_to_hub: Vec<(u32, TargetLoad)>,
    /// CPU shares of the entries by name, in thousandths of a processor.
    cpu_shares: HashMap<Name, u32>,
    /// Targets whose objects could not be decoded, so that each is logged only once.
    unreadable_targets: HashSet<Name>,
    /// When unevenly loaded targets were last logged.
    pub(super) spread_logged_at: Option<Timestamp>,
    /// What was reported about the limits on what callers hold.
    pub(super) caller_limits: CallerLimitReport,
}

impl State {
    pub(crate) fn new(entry: &str, rollout: RolloutSettings, version_deadline: Duration) -> Self {
        Self {
            views: Default::default(),
            evacuations: Evacuations::default(),
            targets_withheld: false,
            targets: TargetTable::default(),
            versions: WeightVersions::with_deadline(version_deadline),
            loads: LoadTable::default(),
            retirement: RetirementTracker::default(),
            absent_entries: AbsentEntries::default(),
            unlisted_entries: UnlistedEntries::default(),
            join_questions: JoinQuestions::default(),
            round_trips: RoundTripClock::new(entry, fastrand::u64(..)),
            round_trip_sent_at: None,
            may_fetch: false,
            weights_read: false,
            rollout: RolloutPlanner::new(rollout),
            reported_versions: BTreeMap::new(),
            peer_cordons: HashMap::new(),
            paused_targets: HashMap::new(),
            new_origins: Vec::new(),
            limited_targets: BTreeSet::new(),
            warm_ups: WarmUpState::default(),
            peers: Vec::new(),
            hub_candidates: Vec::new(),
            draining_peers: Vec::new(),
            hub_selector: HubSelector::default(),
            aggregator: HubAggregator::default(),
            loads_sent_to_hub: Vec::new(),
            cpu_shares: HashMap::new(),
            unreadable_targets: HashSet::new(),
            spread_logged_at: None,
            caller_limits: CallerLimitReport::default(),
        }
    }

    /// What this entry knows of the objects of a kind.
    pub(crate) fn view(&self, watched: WatchedKind) -> &KindView {
        &self.views[watched.index()]
    }

    /// The same, to be changed.
    pub(crate) fn view_mut(&mut self, watched: WatchedKind) -> &mut KindView {
        &mut self.views[watched.index()]
    }

    /// The objects of a kind.
    pub(crate) fn cache(&self, watched: WatchedKind) -> &ObjectCache {
        &self.view(watched).cache
    }

    /// The objects of a kind, to be changed.
    pub(crate) fn cache_mut(&mut self, watched: WatchedKind) -> &mut ObjectCache {
        &mut self.view_mut(watched).cache
    }

    /// Revisions of the cached objects of the first four kinds.
    pub(crate) fn revisions(&self) -> [u64; 4] {
        std::array::from_fn(|n| self.views[n].cache.revision())
    }

    /// Decodes the registered targets; objects that cannot be decoded are skipped.
    pub(crate) fn decode_targets(&mut self, now: Timestamp, decoder: &dyn Decoder) {
        let mut registered = Vec::new();
        for (name, spec) in self.views[WatchedKind::Targets.index()].cache.iter() {
            match decoder.target(name, spec) {
                Ok(target) => {
                    self.warm_ups.record_registration(name, spec, target.cold);
                    registered.push(target);
                }
                Err(err) => {
                    if self.unreadable_targets.insert(name.clone()) {
                        log::warn!("event=target_unreadable name={name:?} error={err:?}");
                    }
                }
            }
        }
        self.targets.set_registered(now, registered);
    }

    /// Decodes the declared weights and returns them.
    pub(crate) fn decode_weights(
        &mut self,
        now: Timestamp,
        decoder: &dyn Decoder,
    ) -> Vec<DeclaredWeights> {
        let mut read = Vec::new();
        let cache = &self.views[WatchedKind::Weights.index()].cache;
        for (name, spec) in cache.iter() {
            match decoder.weights(name, spec) {
                Ok(declared) => {
                    let DeclaredWeights { model, version } = &declared;
                    let is_new = if self.weights_read {
                        self.versions.declare(now, model, *version)
                    } else {
                        self.versions.declare_at_unknown_time(model, *version)
                    };
                    if is_new {
                        log::info!("event=weights_named model={model} version={version}");
                    }
                    read.push(declared);
                }
                Err(err) => log::warn!("event=weights_unreadable name={name:?} error={err:?}"),
            }
        }
        self.weights_read = true;
        read
    }

    /// Decodes the VMs of the entries; objects that cannot be decoded are skipped.
    pub(crate) fn decode_members(&self) -> Vec<Vm> {
        let members = self.cache(WatchedKind::Members).iter();
        let read = members.filter_map(|(name, spec)| {
            let vm = serde_json::from_value::<Vm>((**spec).clone());
            vm.inspect_err(|err| log::warn!("event=member_unreadable name={name:?} error={err:?}"))
                .ok()
        });
        read.collect()
    }

    /// Gives a target no new work for a time, since its weight version is unknown.
    pub(crate) fn pause_target(&mut self, target: &Name, until: Timestamp) {
        self.paused_targets.insert(target.clone(), until);
    }

    /// Records the targets that a peer has cordoned; returns whether there are any and the list
    /// differs from the peer's previous one.
    pub(crate) fn record_peer_cordons(
        &mut self,
        now: Timestamp,
        peer: &Name,
        cordoned: &[u32],
    ) -> bool {
        let old = if cordoned.is_empty() {
            self.peer_cordons.remove(peer)
        } else {
            self.peer_cordons
                .insert(peer.clone(), (now, cordoned.to_vec()))
        };
        old.is_none_or(|(_, old)| old != cordoned) && !cordoned.is_empty()
    }

    /// Removes expired cordons and pauses, and targets that did not register again; returns whether
    /// there were any.
    pub(crate) fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.peer_cordons.len() + self.paused_targets.len();
        self.peer_cordons
            .retain(|_, (at, _)| now < *at + PEER_CORDON_TTL);
        self.paused_targets.retain(|_, until| now < *until);
        let resumed = self.peer_cordons.len() + self.paused_targets.len() < before;
        let removed = self.targets.expire(now);
        resumed || removed
    }

    /// Removes the entries that did not register again after the platform store was restored;
    /// returns whether there were any.
    pub(crate) fn expire_members(&mut self, now: Timestamp) -> bool {
        self.cache_mut(WatchedKind::Members).expire(now)
    }

    /// Removes the evacuations that were not written again after the platform store was restored;
    /// returns whether there were any.
    pub(crate) fn expire_evacuations(&mut self, now: Timestamp) -> bool {
        self.cache_mut(WatchedKind::Evacuations).expire(now)
    }

    /// Whether a target gets no new work, because this entry or a peer has cordoned it or its
    /// weight version is unknown.
    pub(super) fn is_cordoned(&self, target: &RegisteredTarget) -> bool {
        let name = &target.info.name;
        let key = name_hash(name);
        self.paused_targets.contains_key(name)
            || self
                .peer_cordons
                .values()
                .any(|(_, cordoned)| cordoned.contains(&key))
            || self.rollout.cordoned_targets().any(|n| n == name)
    }

    /// Whether there are so many entries that they exchange their status through hubs.
    pub(crate) fn uses_hubs(&self) -> bool {
        self.entry_count() > MAX_ENTRIES_WITHOUT_HUBS
    }

    /// Sets the live entries.
    pub(crate) fn set_hub_candidates(&mut self, live: Vec<PeerInfo>) {
        let peers = live.into_iter().map(|peer| HubCandidate {
            cpu_millis: self.cpu_shares.get(&peer.name).copied().unwrap_or_default(),
            name: peer.name,
            domain: peer.domain,
            draining: peer.draining,
        });
        (self.draining_peers, self.hub_candidates) = peers.partition(|peer| peer.draining);
    }

    /// Records the CPU shares of the entries.
    pub(crate) fn set_cpu_shares(&mut self, members: &[Vm]) {
        let cpu_shares = members.iter().map(|vm| (vm.name.clone(), vm.cpu_millis));
        self.cpu_shares = cpu_shares.collect();
        for peer in &mut self.hub_candidates {
            peer.cpu_millis = self.cpu_shares.get(&peer.name).copied().unwrap_or_default();
        }
    }

    /// This entry as a candidate for the hub.
    pub(crate) fn own_hub_candidate(&self, own: &Vm, draining: bool) -> HubCandidate {
        HubCandidate {
            name: own.name.clone(),
            domain: own.domain.clone(),
            // The value from the platform store, as peers use it, so that all select the same hub.
            cpu_millis: self.cpu_shares.get(&own.name).copied().unwrap_or_default(),
            draining,
        }
    }

    /// Number of failure domains with live entries, including the own one.
    pub(crate) fn domain_count(&self) -> usize {
        let mut domains: SmallVec<[&Name; 8]> =
            self.hub_candidates.iter().map(|c| &c.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len().max(1)
    }

    /// Number of entries in the platform store, including this one; at least one.
    pub(crate) fn entry_count(&self) -> usize {
        self.cache(WatchedKind::Members).iter().count().max(1)
    }

    /// Until when this entry may fetch stored context; `own` is its name.
    pub(crate) fn fetch_lease(&self, now: Timestamp, own: &str) -> FetchLease {
        let others = self.current_others(now, own);
        self.retirement.fetch_lease(now, others.as_ref())
    }

    /// Records the proof that came with a peer's message; returns a time after which the message was
    /// made. The first one of a peer is answered with the next status.
    pub(crate) fn record_round_trip(
        &mut self,
        peer: &Name,
        round_trip: Option<&RoundTrip>,
    ) -> Option<Timestamp> {
        let round_trip = round_trip?;
        if !self.round_trips.knows(peer) {
            self.round_trip_sent_at = None;
        }
        self.round_trips.record(peer, round_trip)
    }

    /// Proof of how recent the next status to all peers is, if one is due.
    pub(crate) fn due_round_trip(&mut self, now: Timestamp) -> Option<RoundTrip> {
        let last = self.round_trip_sent_at;
        if last.is_some_and(|last| now < last + ROUND_TRIP_INTERVAL) {
            return None;
        }
        self.round_trip_sent_at = Some(now);
        let draining = self.draining_peers.iter().map(|peer| &peer.name);
        let receivers = self.peers.iter().chain(draining);
        Some(self.round_trips.round_trip(now, receivers))
    }

    /// Names of the other entries in the platform store.
    pub(crate) fn other_entries(&self, own: &str) -> Vec<Name> {
        let members = self.cache(WatchedKind::Members).iter();
        let names = members.map(|(name, _)| name.clone());
        names.filter(|name| **name != *own).collect()
    }

    /// Names of the registered targets with one of these name hashes.
    pub(crate) fn targets_by_hash(&self, keys: &[u32]) -> Vec<Name> {
        if keys.is_empty() {
            return Vec::new();
        }
        let names = self.targets.iter().map(|t| &t.info.name);
        let found = names.filter(|name| keys.contains(&name_hash(name)));
        found.cloned().collect()
    }

    /// Targets with weights, for the rollout planner.
    pub(crate) fn rollout_targets(&self) -> Vec<RolloutTarget> {
        let targets = self.targets.iter().filter(|t| !t.weights.is_empty());
        targets
            .map(|t| RolloutTarget {
                name: t.info.name.clone(),
                address: t.info.address,
                leaving: t.info.leaving,
                weights: t.weights.clone(),
            })
            .collect()
    }
}
