//! State of a gateway's control tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::context_store::RetirementTracker;
use crate::gateway::control::CallerLimitReport;
use crate::gateway::control::warm_ups::WarmUpState;
use crate::gateway::{
    AbsentEntries, Evacuations, HubAggregator, HubCandidate, HubSelector, LoadTable, TargetLoad,
    TargetTable, UnlistedEntries, UnreadableNames, WatchedKind, WeightVersions,
};
use crate::name_hash::name_hash;
use crate::peer::{JoinQuestions, RoundTripClock};
use crate::prelude::*;
use crate::rollout::{RolloutPlanner, RolloutSettings, RolloutTarget};
use crate::store_view::{KindView, ObjectCache};
use crate::stream_origin::StreamOrigin;

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
    pub(super) round_trip_sent_at: Option<Timestamp>,
    /// Whether stored context may be fetched, when that was last logged.
    pub may_fetch: bool,
    /// Whether declared weights were read before; those in the first listing may have been declared
    /// long ago.
    pub(super) weights_read: bool,
    /// Planner of the rollout of new weights.
    pub rollout: RolloutPlanner,
    /// Weight versions that targets reported and when, by the hash of the target's name.
    pub(super) reported_versions: BTreeMap<u32, (u64, Timestamp)>,
    /// Hashes of the targets that each peer has cordoned, and when it reported them.
    pub(super) peer_cordons: HashMap<Name, (Timestamp, Vec<u32>)>,
    /// Targets that get no new work because their weight version is unknown, and until when.
    pub(super) paused_targets: HashMap<Name, Timestamp>,
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
    pub(super) cpu_shares: HashMap<Name, u32>,
    /// Objects that cannot be read.
    pub(super) unreadable: UnreadableNames,
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
            unreadable: UnreadableNames::default(),
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

    /// Number of entries in the platform store, including this one; at least one.
    pub(crate) fn entry_count(&self) -> usize {
        self.cache(WatchedKind::Members).iter().count().max(1)
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
