//! Everything that the control of a gateway knows.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::context_store::{RetiredVersions, RetirementTracker};
use crate::gateway::versions::label;
use crate::gateway::{
    Decoder, Gatherer, HubPeer, Hubs, ListedTarget, LoadTable, NamedWeights, ObjectBook,
    TargetBook, TargetLoad, VersionBook, Watched,
};
use crate::name_hash::name_hash;
use crate::peer::PeerInfo;
use crate::platform::Vm;
use crate::prelude::*;
use crate::rollout::{RolloutPlanner, RolloutSettings, RolloutTarget};
use crate::route::RouteTable;
use crate::scheduler::OwnLoad;
use crate::target::LoadReport;

/// Time for which a word about a target's weights goes before its own entry.
const TOLD_TIME: Duration = Duration::from_secs(8);
/// Time after which a peer's word about targets that are held back lapses.
const HELD_TIME: Duration = Duration::from_millis(2_500);

/// Entries up to which words about load are fresh enough to keep all waiting at the entries.
const FEW_ENTRIES: usize = 10;
/// Part of a target's room that many entries fill: they hear of each other late, and what waits at a
/// target is served sooner than what waits for a word.
const CROWD: f64 = 1.5;
/// Time after the last target left a weight version from which nobody fetches for it any more: its
/// runs have ended, and no request may begin on it.
const LEFT_FOR: Duration = Duration::from_secs(3);

/// Everything that the control of a gateway knows.
pub(crate) struct State {
    /// Objects by kind.
    pub books: [ObjectBook; 4],
    /// Since when the store has not answered, by kind.
    pub away: [Option<Timestamp>; 4],
    /// When a peer was asked for objects last, by kind.
    pub asked: [Option<Timestamp>; 4],
    /// Targets in use.
    pub targets: TargetBook,
    /// Weight versions.
    pub versions: VersionBook,
    /// Peers' loads.
    pub loads: LoadTable,
    /// Agreement on kept context that nobody fetches any more.
    pub retirement: RetirementTracker,
    /// Whether the named weights were read before: what is named at the first look may have been
    /// named long ago.
    weights_read: bool,
    /// The rollout of new weights.
    pub rollout: RolloutPlanner,
    /// Versions that targets said they run, with the time of the word.
    told: BTreeMap<u32, (u64, Timestamp)>,
    /// Targets that peers hold back.
    held: HashMap<Name, (Timestamp, Vec<u32>)>,
    /// Targets whose weights are in doubt, until when.
    doubts: HashMap<Name, Timestamp>,
    /// Entries that were live last, this one not among them.
    pub peers: Vec<Name>,
    /// The same as they may be hubs.
    pub hub_peers: Vec<HubPeer>,
    /// Whom this entry tells in a large system.
    pub hubs: Hubs,
    /// What this entry has gathered while it is a hub.
    pub gatherer: Gatherer,
    /// Own loads that the hub was told last.
    pub told_loads: Vec<(u32, TargetLoad)>,
    /// Shares of a processor that the store names, by entry.
    powers: HashMap<Name, u32>,
    unreadable: HashSet<Name>,
    /// Oldest version that any target has, and since when.
    oldest: (u64, Timestamp),
}

impl State {
    pub(crate) fn new(rollout: RolloutSettings) -> Self {
        Self {
            books: Default::default(),
            away: [Some(Timestamp::ZERO); 4],
            asked: [None; 4],
            targets: TargetBook::default(),
            versions: VersionBook::default(),
            loads: LoadTable::default(),
            retirement: RetirementTracker::default(),
            weights_read: false,
            rollout: RolloutPlanner::new(rollout),
            told: BTreeMap::new(),
            held: HashMap::new(),
            doubts: HashMap::new(),
            peers: Vec::new(),
            hub_peers: Vec::new(),
            hubs: Hubs::default(),
            gatherer: Gatherer::default(),
            told_loads: Vec::new(),
            powers: HashMap::new(),
            unreadable: HashSet::new(),
            oldest: (0, Timestamp::ZERO),
        }
    }

    /// Revisions up to which the kinds are known.
    pub(crate) fn revisions(&self) -> [u64; 4] {
        std::array::from_fn(|n| self.books[n].revision())
    }

    /// Reads the targets; entries that cannot be read name no target.
    pub(crate) fn read_targets(&mut self, now: Timestamp, decoder: &dyn Decoder) {
        let mut listed = Vec::new();
        for (name, spec) in self.books[Watched::Targets.index()].iter() {
            match decoder.target(name, spec) {
                Ok(target) => listed.push(target),
                Err(err) => {
                    if self.unreadable.insert(name.clone()) {
                        log::warn!("event=target_unreadable name={name:?} error={err:?}");
                    }
                }
            }
        }
        self.targets.take(now, listed);
    }

    /// Reads the named weights and returns them.
    pub(crate) fn read_weights(
        &mut self,
        now: Timestamp,
        decoder: &dyn Decoder,
    ) -> Vec<NamedWeights> {
        let mut read = Vec::new();
        let book = &self.books[Watched::Weights.index()];
        for (name, spec) in book.iter() {
            match decoder.weights(name, spec) {
                Ok(named) => {
                    if self.versions.named(&named.model) < Some(named.version) {
                        log::info!(
                            "event=weights_named model={} version={}",
                            named.model,
                            named.version
                        );
                    }
                    if self.weights_read {
                        self.versions.name(now, &named.model, named.version);
                    } else {
                        self.versions.name_before(&named.model, named.version);
                    }
                    read.push(named);
                }
                Err(err) => log::warn!("event=weights_unreadable name={name:?} error={err:?}"),
            }
        }
        self.weights_read = true;
        read
    }

    /// Reads the entries of this system.
    pub(crate) fn read_members(&self) -> Vec<Vm> {
        let members = self.books[Watched::Members.index()].iter();
        let read = members.filter_map(|(name, spec)| {
            let vm = serde_json::from_value::<Vm>((**spec).clone());
            vm.inspect_err(|err| log::warn!("event=member_unreadable name={name:?} error={err:?}"))
                .ok()
        });
        read.collect()
    }

    /// Takes a target's own word about its weights.
    pub(crate) fn told(&mut self, now: Timestamp, target: &str, version: u64) {
        self.told_key(now, name_hash(target), version);
    }

    /// Takes a word about a target's weights; an older version than told is ignored.
    pub(crate) fn told_key(&mut self, now: Timestamp, key: u32, version: u64) -> bool {
        let known = self.told.get(&key);
        let fresh = known.is_none_or(|(v, at)| *v < version || now >= *at + TOLD_TIME);
        if fresh {
            self.told.insert(key, (version, now));
        }
        fresh
    }

    /// Versions that are told to peers.
    pub(crate) fn told_words(&mut self, now: Timestamp) -> Vec<(u32, u64)> {
        self.told.retain(|_, (_, at)| now < *at + TOLD_TIME);
        self.told.iter().map(|(key, (v, _))| (*key, *v)).collect()
    }

    /// Holds a target back until its weights are known.
    pub(crate) fn doubt(&mut self, target: &Name, until: Timestamp) {
        self.doubts.insert(target.clone(), until);
    }

    /// Takes the targets that a peer holds back.
    pub(crate) fn take_held(&mut self, now: Timestamp, peer: &Name, held: &[u32]) -> bool {
        let old = if held.is_empty() {
            self.held.remove(peer)
        } else {
            self.held.insert(peer.clone(), (now, held.to_vec()))
        };
        old.is_none_or(|(_, old)| old != held) && !held.is_empty()
    }

    /// Drops words that are old; tells whether there were any.
    pub(crate) fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.held.len() + self.doubts.len();
        self.held.retain(|_, (at, _)| now < *at + HELD_TIME);
        self.doubts.retain(|_, until| now < *until);
        let words = self.held.len() + self.doubts.len() < before;
        let targets = self.targets.expire(now);
        words || targets
    }

    fn is_held(&self, listed: &ListedTarget) -> bool {
        let name = &listed.info.name;
        let key = name_hash(name);
        self.doubts.contains_key(name)
            || self.held.values().any(|(_, held)| held.contains(&key))
            || self.rollout.cordoned_targets().any(|n| n == name)
    }

    /// The version of a model that a target runs, by the newest word.
    fn version(&self, now: Timestamp, listed: &ListedTarget, version: u64) -> u64 {
        let told = self.told.get(&name_hash(&listed.info.name));
        let told = told.filter(|(_, at)| now < *at + TOLD_TIME);
        told.map_or(version, |(told, _)| version.max(*told))
    }

    /// Models and versions of all targets that stay, one item for each.
    pub(crate) fn effective_weights(&self, now: Timestamp) -> impl Iterator<Item = (Name, u64)> {
        let staying = self.targets.iter().filter(|t| !t.info.leaving);
        staying.flat_map(move |t| {
            let weights = t.weights.iter();
            weights.map(move |(model, v)| (model.clone(), self.version(now, t, *v)))
        })
    }

    /// Whether there are too many entries for each to tell all others.
    pub(crate) fn is_crowded(&self) -> bool {
        self.entries() > FEW_ENTRIES
    }

    /// Takes the entries that are live and stay.
    pub(crate) fn set_hub_peers(&mut self, live: Vec<PeerInfo>) {
        let peers = live.into_iter().map(|peer| HubPeer {
            power: self.powers.get(&peer.name).copied().unwrap_or_default(),
            name: peer.name,
            domain: peer.domain,
        });
        self.hub_peers = peers.collect();
    }

    /// Takes the entries that the store names.
    pub(crate) fn take_members(&mut self, members: &[Vm]) {
        let powers = members.iter().map(|vm| (vm.name.clone(), vm.cpu_millis));
        self.powers = powers.collect();
        for peer in &mut self.hub_peers {
            peer.power = self.powers.get(&peer.name).copied().unwrap_or_default();
        }
    }

    /// This entry as a hub.
    pub(crate) fn hub_peer(&self, own: &Vm) -> HubPeer {
        HubPeer {
            name: own.name.clone(),
            domain: own.domain.clone(),
            // As the others see it: they know it from the store only.
            power: self.powers.get(&own.name).copied().unwrap_or_default(),
        }
    }

    /// Entries of this system, this one among them, as far as the store has told.
    pub(crate) fn entries(&self) -> usize {
        self.books[Watched::Members.index()].iter().count().max(1)
    }

    /// The other entries that the store names.
    pub(crate) fn other_entries(&self, own: &str) -> Vec<Name> {
        let members = self.books[Watched::Members.index()].iter();
        let names = members.map(|(name, _)| name.clone());
        names.filter(|name| **name != *own).collect()
    }

    /// Versions below the oldest that any target has, once that has been so for long enough.
    pub(crate) fn without_targets(&mut self, now: Timestamp) -> RetiredVersions {
        let oldest = self.effective_weights(now).map(|(_, v)| v).min();
        let Some(oldest) = oldest else {
            return RetiredVersions::default();
        };
        if self.oldest.0 != oldest {
            self.oldest = (oldest, now);
        }
        let settled = now >= self.oldest.1 + LEFT_FOR;
        RetiredVersions {
            all_below: if settled { oldest } else { 0 },
            half_below: 0,
        }
    }

    /// Retires context of older weights: half of it once newer ones are named, and all of it once a
    /// third of the targets has them. Stores are too small to keep two versions whole.
    pub(crate) fn retire_context(&mut self, now: Timestamp) {
        let Some(newest) = self.versions.newest() else {
            return;
        };
        let found: Vec<u64> = self.effective_weights(now).map(|(_, v)| v).collect();
        let fresh = found.iter().filter(|v| **v >= newest).count();
        let all = fresh * 3 >= found.len() && fresh > 0;
        self.retirement.retire(RetiredVersions {
            all_below: if all { newest } else { 0 },
            half_below: newest,
        });
    }

    /// Targets in use that have one of these short identities.
    pub(crate) fn named_by(&self, keys: &[u32]) -> Vec<Name> {
        if keys.is_empty() {
            return Vec::new();
        }
        let names = self.targets.iter().map(|t| &t.info.name);
        let found = names.filter(|name| keys.contains(&name_hash(name)));
        found.cloned().collect()
    }

    /// The targets as the rollout sees them.
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

    /// What the desk is told of each target: its slots and weights, and the load of all entries.
    pub(crate) fn reports(
        &self,
        now: Timestamp,
        table: Option<&RouteTable>,
        own: &HashMap<Name, OwnLoad>,
    ) -> Vec<(Name, LoadReport)> {
        let sums = self.loads.sums();
        let age = self.loads.age(now).as_millis();
        let age_ms = u64::try_from(age).unwrap_or(u64::MAX);
        let many = self.is_crowded();
        let crowd = if many { CROWD } else { 1.0 };
        let targets = self.targets.iter();
        targets
            .map(|t| {
                let name = t.info.name.clone();
                let others = sums.get(&name_hash(&name)).copied();
                let others: TargetLoad = others.unwrap_or_default();
                let mine = own.get(&name).map_or(0, |load| load.requests);
                let service = table.and_then(|table| table.service(&t.info.serves));
                let held = self.is_held(t);
                let weights = t.weights.iter();
                let weights = weights.map(|(m, v)| label(m, self.version(now, t, *v)));
                // Short requests have ended long before a word about them comes.
                let short = many && t.weights.is_empty();
                let elsewhere = if short { 0 } else { others.requests };
                let limit = service.map_or(0, |s| s.context_tokens);
                let report = LoadReport {
                    running: mine + elsewhere,
                    queued_tokens: u64::from(others.work_tokens()),
                    age_ms,
                    context_tokens: others.context_tokens(),
                    context_limit: scaled(limit, crowd),
                    slots: scaled(t.slots, crowd),
                    weights: weights.filter(|_| !held).collect(),
                    ..LoadReport::default()
                };
                (name, report)
            })
            .collect()
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(room: u32, factor: f64) -> u32 {
    (f64::from(room) * factor).round() as u32
}
