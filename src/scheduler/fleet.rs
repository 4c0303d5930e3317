//! The targets that an entry knows, indexed for placement.

mod estimate;
mod evacuation;
mod even_load;
mod free_set;
mod health;
mod load;
mod placement_query;
mod pool;
mod prefix_cache;
mod ramp_up;
mod residency;
mod ring;
mod selection;
mod software_history;
mod target;
mod updates;
mod warm_up;
mod weights_group;

use std::collections::{BTreeSet, HashMap};

use crate::prelude::*;
use crate::rate_limit::{RateShare, ShareMeter};
use crate::scheduler::{Placement, RetryBurst, SchedulerSettings, WarmUpPlan};

pub(crate) use free_set::FreeSet;
pub(crate) use health::Health;
pub use load::OwnLoad;
pub(crate) use load::{AttemptSize, Load};
pub(crate) use placement_query::{Isolation, PlacementQuery};
pub(crate) use pool::{Pool, PoolIx, work_units};
pub(crate) use prefix_cache::PrefixCache;
pub(crate) use ring::{Ring, mix};
pub(crate) use software_history::SoftwareHistory;
pub(crate) use target::{Target, TargetIx};
pub(crate) use warm_up::WarmUp;
pub(crate) use weights_group::WeightsGroup;

/// Part of a target's context capacity that caches starts of prompts, as a divisor; running requests
/// occupy the rest.
const PREFIX_CACHE_DIVISOR: u32 = 2;

/// The targets that an entry knows, with indexes by name, by model or service and by room.
///
/// A target that the platform no longer lists stays until the last own attempt there has ended.
#[derive(Debug)]
pub(crate) struct Fleet {
    domain: Name,
    default_slots: u32,
    retry_ratio: f64,
    retry_burst: RetryBurst,
    placement: Placement,
    entries: u32,
    targets: Vec<Option<Target>>,
    /// Free indexes in `targets`.
    vacant: Vec<TargetIx>,
    by_name: HashMap<Name, TargetIx>,
    pools: Vec<Pool>,
    by_serves: HashMap<Name, PoolIx>,
    /// Ends of the pauses that targets asked for; kept while a target is not listed.
    paused: HashMap<Name, Timestamp>,
    /// How targets are warmed up, listed or not.
    warm_up_plans: Arc<HashMap<Name, WarmUpPlan>>,
    /// Whether any target was ever listed.
    was_listed: bool,
    /// Evacuated failure domains, known or not.
    evacuated: BTreeSet<Name>,
}

impl Fleet {
    /// Makes a fleet without targets.
    pub(crate) fn new(cfg: &SchedulerSettings) -> Self {
        Self {
            domain: cfg.domain.clone(),
            default_slots: cfg.default_slots,
            retry_ratio: cfg.retry_ratio,
            retry_burst: cfg.retry_burst,
            placement: cfg.placement,
            entries: 1,
            targets: Vec::new(),
            vacant: Vec::new(),
            by_name: HashMap::new(),
            pools: Vec::new(),
            by_serves: HashMap::new(),
            paused: HashMap::new(),
            warm_up_plans: Arc::default(),
            was_listed: false,
            evacuated: BTreeSet::new(),
        }
    }

    /// The target at an index.
    pub(crate) fn get(&self, ix: TargetIx) -> Option<&Target> {
        self.targets.get(ix.0 as usize)?.as_ref()
    }

    /// The target at an index, for changes; [`Fleet::refresh`] must follow one that affects whether
    /// the target takes work or has room.
    pub(crate) fn get_mut(&mut self, ix: TargetIx) -> Option<&mut Target> {
        self.targets.get_mut(ix.0 as usize)?.as_mut()
    }

    /// Finds a listed target by name.
    pub(crate) fn find(&self, name: &str) -> Option<TargetIx> {
        self.by_name.get(name).copied()
    }

    /// Finds the pool of a model or service.
    pub(crate) fn find_pool(&self, serves: &str) -> Option<PoolIx> {
        self.by_serves.get(serves).copied()
    }

    /// The pool at an index.
    pub(crate) fn pool(&self, ix: PoolIx) -> &Pool {
        &self.pools[ix.0]
    }

    /// The pool at an index, for changes.
    pub(crate) fn pool_mut(&mut self, ix: PoolIx) -> &mut Pool {
        &mut self.pools[ix.0]
    }

    /// Number of pools.
    pub(crate) fn pool_count(&self) -> usize {
        self.pools.len()
    }

    /// Sets the number of entries that share the targets and the retry budget.
    pub(crate) fn set_entries(&mut self, now: Timestamp, entries: u32) {
        self.entries = entries.max(1);
        for pool in &mut self.pools {
            pool.budget
                .set_cap(self.retry_burst.entry_capacity(self.entries));
        }
        self.refresh_all(now);
    }

    /// All targets, listed or not.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (TargetIx, &Target)> {
        let each = self.targets.iter().zip(0..);
        each.filter_map(|(t, ix)| Some((TargetIx(ix), t.as_ref()?)))
    }

    /// Slots of a target that may be in use now.
    pub(crate) fn slots(&self, now: Timestamp, target: &Target) -> u32 {
        let typical_unit_seconds = self.pools[target.pool.0].typical_unit_seconds.get();
        target
            .load
            .slots(now, self.default_slots, typical_unit_seconds)
    }

    /// Recomputes whether a target takes work and has room, and updates the indexes.
    pub(crate) fn refresh(&mut self, now: Timestamp, ix: TargetIx) {
        let Some(target) = self.get(ix) else {
            return;
        };
        let slots = self.slots(now, target);
        let has_room = if target.load.is_known_late() {
            self.has_late_room(now, target)
        } else {
            target.load.has_room(now, slots, self.entries)
        };
        let free = target.takes_work(now) && has_room && target.is_within_limit(now);
        if free == target.free {
            return;
        }
        self.set_free(ix, free);
    }

    fn set_free(&mut self, ix: TargetIx, free: bool) {
        let Some(target) = self.targets[ix.0 as usize].as_mut() else {
            return;
        };
        target.free = free;
        for group in &mut self.pools[target.pool.0].groups {
            if target.has_weights(&group.weights) {
                group.set_free(ix, target.local, free);
            }
        }
    }

    /// Runs [`Fleet::refresh`] for all targets.
    pub(crate) fn refresh_all(&mut self, now: Timestamp) {
        for n in 0..self.targets.len() {
            self.refresh(now, TargetIx(u32::try_from(n).unwrap_or(u32::MAX)));
        }
    }

    /// Gives a target no new work until `until`, even if it is not listed meanwhile.
    pub(crate) fn pause(&mut self, now: Timestamp, ix: TargetIx, until: Timestamp) {
        let Some(target) = self.get_mut(ix) else {
            return;
        };
        target.load.pause_until(until);
        let name = target.info.name.clone();
        self.paused.retain(|_, until| now < *until);
        let end = self.paused.entry(name).or_default();
        *end = until.max(*end);
        self.refresh(now, ix);
    }

    /// Sets the share of a target's limit; returns whether it changed.
    pub(crate) fn set_rate_share(
        &mut self,
        now: Timestamp,
        ix: TargetIx,
        share: Option<RateShare>,
    ) -> bool {
        let Some(target) = self.get_mut(ix) else {
            return false;
        };
        if target.rate_share.map(|meter| meter.share()) == share {
            return false;
        }
        target.rate_share = match (target.rate_share, share) {
            (Some(mut meter), Some(share)) => {
                meter.set_share(share);
                Some(meter)
            }
            (_, share) => share.map(ShareMeter::new),
        };
        self.refresh(now, ix);
        true
    }

    /// Requests per second that the limits and warm-ups of a pool's targets permit; `None` if any
    /// target without one may take work.
    pub(crate) fn limited_rate(&self, now: Timestamp, pool: PoolIx) -> Option<f64> {
        let targets = self.pool(pool).groups[0].all.iter();
        let targets = targets.filter_map(|ix| self.get(ix));
        let usable = targets.filter(|t| t.health.may_recover());
        let rates = usable.map(|t| t.share_per_second(now));
        let sum: Option<f64> = rates.sum();
        sum.filter(|rate| *rate > 0.0)
    }

    /// Records that a prompt was sent to a target, which then has its shared start cached.
    pub(crate) fn record_prefix(&mut self, ix: TargetIx, key: u64, shared_tokens: u32) {
        if self.placement != Placement::LeastWorkOfAll || shared_tokens == 0 {
            return;
        }
        if let Some(target) = self.get_mut(ix) {
            let capacity = match target.load.report.context_limit {
                0 => u32::MAX,
                limit => limit / PREFIX_CACHE_DIVISOR,
            };
            target.prefixes.record_use(key, shared_tokens, capacity);
        }
    }

    /// Counts an attempt as load of its target.
    pub(crate) fn take_slot(&mut self, now: Timestamp, ix: TargetIx, size: AttemptSize) {
        if let Some(target) = self.get_mut(ix) {
            target.load.add_attempt(size);
            if let Some(meter) = &mut target.rate_share {
                meter.record_use(now);
            }
            target.warm_up.record_use(now);
            let pool = target.pool;
            self.pools[pool.0].in_flight += 1;
        }
        self.refresh(now, ix);
    }

    /// Reduces the load of an attempt whose prompt was read, so that only generation is left.
    pub(crate) fn prompt_read(&mut self, ix: TargetIx, before: AttemptSize, after: AttemptSize) {
        if let Some(target) = self.get_mut(ix) {
            target.load.resize(before, after);
        }
    }

    /// Removes an attempt from the load of its target; `false` when none was counted.
    pub(crate) fn free_slot(&mut self, now: Timestamp, ix: TargetIx, size: AttemptSize) -> bool {
        let Some(target) = self.get_mut(ix) else {
            return false;
        };
        let had_attempt = target.load.remove_attempt(size);
        let pool = target.pool;
        let pool = &mut self.pools[pool.0];
        let counted = pool.in_flight > 0;
        pool.in_flight = pool.in_flight.saturating_sub(1);
        self.refresh(now, ix);
        self.drop_unlisted(ix);
        had_attempt && counted
    }
}
