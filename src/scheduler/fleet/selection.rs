//! Selection of a target with room.

use crate::prelude::*;
use crate::residency::AllowedDomains;
use crate::scheduler::event::target_of;
use crate::scheduler::fleet::{
    Fleet, FreeSet, Isolation, PlacementQuery, Pool, PoolIx, Target, TargetIx, WeightsGroup,
};
use crate::scheduler::{Placement, TargetInfo};

/// Candidates from the rendezvous order of a prefix; the first is its home, which most likely has
/// the prefix cached.
const HOME_CANDIDATES: usize = 2;
/// Further candidates, drawn at random.
const RANDOM_CANDIDATES: usize = 4;
/// Cost of any but the preferred weight version, in prompt tokens: a target with the preferred one
/// is selected even with up to this much more work.
const OLD_WEIGHTS_PENALTY: f64 = 2_000.0;
/// Further random candidates from the failure domain of the context store that holds the shared
/// part of a prompt.
const NEAR_CANDIDATES: usize = 2;
/// Targets drawn at random to find these.
const NEAR_SAMPLES: usize = 8;
/// Cost of fetching a token from a context store in the target's failure domain, relative to
/// reading it as part of the prompt.
const NEAR_FETCH_COST: f64 = 0.25;
/// Cost of fetching a token from a context store in another failure domain, over a path that takes
/// twice as long.
const FAR_FETCH_COST: f64 = 0.5;
/// Cost of reading a start that no target has cached at its home, relative to other targets: it is
/// preferred slightly, so that another scheduler of the same targets would choose it too.
const NEW_PREFIX_HOME_COST: f64 = 0.9;
/// Cost, in prompt tokens, of sending an empty prompt to a cold target, which takes few requests.
/// Each token of the prompt lowers the cost by one, so that long prompts go there first. Short
/// prompts go there only when the other targets have that much more work.
const COLD_TARGET_COST: u32 = 4_000;
/// Share of the shared tokens that the home of a prefix is expected to have cached.
const HOME_HIT_SHARE: f64 = 0.9;

impl Fleet {
    /// Whether any allowed target with one of these weight versions has room.
    pub(crate) fn any_free(
        &self,
        pool: PoolIx,
        weights: &[Name],
        allowed: Option<&AllowedDomains>,
    ) -> bool {
        let pool = self.pool(pool);
        if weights.is_empty() {
            return self.has_free(&pool.groups[0].free, allowed);
        }
        let mut groups = weights.iter().filter_map(|w| pool.group(w));
        groups.any(|g| self.has_free(&g.free, allowed))
    }

    /// Selects a target with room, and the weight version to run. Placement by least work weighs
    /// all versions against each other; otherwise they are tried in order.
    pub(crate) fn select_target(
        &self,
        now: Timestamp,
        pool: PoolIx,
        weights: &[Name],
        query: &PlacementQuery<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<(TargetIx, Name)> {
        let pool = self.pool(pool);
        let plain = [Name::from("")];
        let weights = if weights.is_empty() { &plain } else { weights };
        let by_work = self.placement != Placement::FirstWithRoom && query.has_prefix;
        if by_work && query.only.is_empty() && query.isolate.is_none() {
            return self.select_least_work(now, pool, weights, query, rng);
        }
        for weights in weights {
            let Some(group) = pool.group(weights) else {
                continue;
            };
            if let Some(isolation) = query.isolate {
                if let Some(ix) = self.isolation_target(now, group, isolation, query) {
                    return self.can_isolate_at(now, ix).then(|| (ix, weights.clone()));
                }
            } else if let Some(ix) = self.select_in_group(now, group, query, rng) {
                return Some((ix, weights.clone()));
            }
        }
        None
    }

    /// Selects the least utilized of the candidates for `key` that take work and whose limit
    /// permits a request, even when it has no room.
    pub(crate) fn select_ignoring_room(
        &self,
        now: Timestamp,
        pool: PoolIx,
        weights: &[Name],
        key: u64,
        allowed: Option<&AllowedDomains>,
    ) -> Option<(TargetIx, Name)> {
        let pool = self.pool(pool);
        let plain = [Name::from("")];
        let weights = if weights.is_empty() { &plain } else { weights };
        weights.iter().find_map(|weights| {
            let candidates = self.candidates(&pool.group(weights)?.all, key, allowed);
            let usable = candidates
                .into_iter()
                .filter(|ix| self.may_get_work(now, *ix));
            let best = usable.min_by(|a, b| {
                self.utilization(now, *a)
                    .total_cmp(&self.utilization(now, *b))
            });
            best.map(|ix| (ix, weights.clone()))
        })
    }

    fn may_get_work(&self, now: Timestamp, ix: TargetIx) -> bool {
        self.get(ix)
            .is_some_and(|t| t.takes_work(now) && t.is_within_limit(now))
    }

    /// The target at which every entry isolates a suspected request: the first in the rendezvous
    /// order of its fingerprint that takes work and is no victim of it, or else has started anew
    /// since.
    fn isolation_target(
        &self,
        now: Timestamp,
        group: &WeightsGroup,
        isolation: Isolation<'_>,
        query: &PlacementQuery<'_>,
    ) -> Option<TargetIx> {
        let candidates = self.candidates(&group.all, isolation.key, query.allowed);
        let usable = candidates.into_iter().filter(|ix| {
            let target = self.get(*ix);
            target.is_some_and(|t| t.is_healthy(now) && t.runs_software(query.software))
        });
        let usable: SmallVec<[TargetIx; 8]> = usable.collect();
        let first = |is_victim: &dyn Fn(&TargetInfo) -> bool| {
            let mut usable = usable.iter().copied();
            usable.find(|ix| self.get(*ix).is_some_and(|t| !is_victim(&t.info)))
        };
        let victims = isolation.victims;
        first(&|info| victims.iter().any(|v| *target_of(v) == *info.name))
            .or_else(|| first(&|info| victims.contains(&info.process_name())))
    }

    /// Whether a target has room for a request, is in a failure domain allowed to it, and runs the
    /// software version that it requires.
    fn may_run(&self, now: Timestamp, ix: TargetIx, query: &PlacementQuery<'_>) -> bool {
        self.get(ix).is_some_and(|t| {
            t.has_room(now) && t.is_allowed(query.allowed) && t.runs_software(query.software)
        })
    }

    /// Whether any allowed target of a pool runs a software version and takes work, now or once it
    /// has recovered.
    pub(crate) fn has_software(
        &self,
        pool: PoolIx,
        software: &Name,
        allowed: Option<&AllowedDomains>,
    ) -> bool {
        let targets = self.pool(pool).groups[0].all.iter();
        let mut targets = targets.filter_map(|ix| self.get(ix));
        targets.any(|t| {
            t.health.may_recover() && t.is_allowed(allowed) && t.runs_software(Some(software))
        })
    }

    /// Whether a target has room and runs no suspected request of this entry.
    fn can_isolate_at(&self, now: Timestamp, ix: TargetIx) -> bool {
        self.get(ix)
            .is_some_and(|t| t.has_room(now) && t.suspected_requests == 0)
    }

    /// Selects a target with room: of the only ones allowed, else the first candidate in the
    /// rendezvous order of the prompt's prefix, else one drawn to level the load, if that is known
    /// late, or the less utilized of two random ones, in the failure domain of this entry if
    /// possible. A target to avoid is selected last.
    fn select_in_group(
        &self,
        now: Timestamp,
        group: &WeightsGroup,
        query: &PlacementQuery<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<TargetIx> {
        let allowed = |ix: &TargetIx| self.may_run(now, *ix, query);
        if !query.only.is_empty() {
            let fits = |ix: &TargetIx| {
                let target = self.get(*ix);
                allowed(ix) && target.is_some_and(|t| t.has_weights(&group.weights))
            };
            return query.only.iter().copied().find(fits);
        }
        let untried = |ix: &TargetIx| allowed(ix) && !query.avoid.contains(ix);
        if query.has_prefix {
            let candidates = self.candidates(&group.all, query.key, query.allowed);
            if let Some(ix) = candidates.into_iter().find(untried) {
                return Some(ix);
            }
        }
        if !query.has_prefix
            && let Some(ix) = self.select_evenly(now, group, untried, rng)
        {
            return Some(ix);
        }
        let local = self.two_choices(now, &group.free_local, query, rng);
        let any = local
            .filter(untried)
            .or_else(|| self.two_choices(now, &group.free, query, rng));
        let any = any.filter(untried);
        let candidates = || self.candidates(&group.all, query.key, query.allowed);
        any.or_else(|| candidates().into_iter().find(untried))
            .or_else(|| {
                let any = self.two_choices(now, &group.free, query, rng);
                any.filter(allowed)
            })
            .or_else(|| {
                group
                    .all
                    .iter()
                    .find(|ix| query.software.is_some() && allowed(ix))
            })
    }

    /// Candidates for a prompt: its home targets and random ones. Entries learn of each other's
    /// load late, so if all of them compared all targets, they would pile onto the same one.
    fn sample_candidates(
        &self,
        group: &WeightsGroup,
        query: &PlacementQuery<'_>,
        rng: &mut fastrand::Rng,
    ) -> SmallVec<[TargetIx; 8]> {
        let candidates = self.candidates(&group.all, query.key, query.allowed);
        let mut sampled: SmallVec<[TargetIx; 8]> = candidates.into_iter().collect();
        sampled.truncate(HOME_CANDIDATES);
        for _ in 0..RANDOM_CANDIDATES {
            sampled.extend(self.random_free(&group.free, query.allowed, rng));
        }
        let tries = if query.store_domain.is_some() {
            NEAR_SAMPLES
        } else {
            0
        };
        let drawn = (0..tries).filter_map(|_| self.random_free(&group.free, query.allowed, rng));
        let near = drawn.filter(|ix| self.is_near(*ix, query));
        sampled.extend(near.take(NEAR_CANDIDATES));
        sampled
    }

    /// Whether a target is in the failure domain of the store that holds a prompt's shared part.
    fn is_near(&self, ix: TargetIx, query: &PlacementQuery<'_>) -> bool {
        self.get(ix)
            .is_some_and(|t| Some(&t.info.domain) == query.store_domain)
    }

    /// Selects the target that is expected to generate the first token first, over all weight
    /// versions, and the version to run there.
    fn select_least_work(
        &self,
        now: Timestamp,
        pool: &Pool,
        weights: &[Name],
        query: &PlacementQuery<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<(TargetIx, Name)> {
        let all = &pool.groups[0];
        let free = |ix: &TargetIx| self.may_run(now, *ix, query);
        let untried = |ix: &TargetIx| free(ix) && !query.avoid.contains(ix);
        let knows_all = self.placement == Placement::LeastWorkOfAll;
        let sampled = if knows_all {
            SmallVec::new()
        } else {
            self.sample_candidates(all, query, rng)
        };
        let home = self.candidates(&all.all, query.key, query.allowed);
        let home = home.first().copied();
        let least = |ixs: &[TargetIx], allowed: &dyn Fn(&TargetIx) -> bool| {
            let usable = ixs.iter().copied().filter(|ix| allowed(ix));
            let costs = usable.filter_map(|ix| {
                let target = self.get(ix)?;
                let rank = weights.iter().position(|w| target.has_weights(w))?;
                let cost = self.cost(now, target, rank, Some(ix) == home, query);
                Some((cost, ix, rank))
            });
            costs.min_by(|a, b| a.0.total_cmp(&b.0))
        };
        let all_targets: Vec<TargetIx> = all.all.iter().collect();
        let best = least(&sampled, &untried).or_else(|| least(&all_targets, &untried));
        let (_, ix, rank) = best.or_else(|| least(&all_targets, &free))?;
        Some((ix, weights[rank].clone()))
    }

    /// Work until a target can generate the first token, in prompt tokens: what is queued there,
    /// and the part of the prompt that it has to read or fetch. `rank` is the position of its
    /// weights in the order of preference; `home` says whether it is the home of the prefix. The
    /// part of the prompt that no other request shares is left out, since every target has to read
    /// it.
    fn cost(
        &self,
        now: Timestamp,
        target: &Target,
        rank: usize,
        home: bool,
        query: &PlacementQuery<'_>,
    ) -> f64 {
        let typical_unit_seconds = self.pools[target.pool.0].typical_unit_seconds.get();
        let stored = query.stored_tokens.get(rank).copied().unwrap_or_default();
        let unstored = query.shared_tokens.saturating_sub(stored);
        let near = Some(&target.info.domain) == query.store_domain;
        let fetch = if near {
            NEAR_FETCH_COST
        } else {
            FAR_FETCH_COST
        };
        let uncached = f64::from(unstored) + f64::from(stored) * fetch;
        let to_read = match (self.placement, home) {
            (Placement::LeastWorkOfAll, _) if target.prefixes.contains(query.key) => 0.0,
            (Placement::LeastWorkOfAll, true) => uncached * NEW_PREFIX_HOME_COST,
            (Placement::LeastWork, true) => uncached * (1.0 - HOME_HIT_SHARE),
            _ => uncached,
        };
        let penalty = if rank == 0 { 0.0 } else { OLD_WEIGHTS_PENALTY };
        let cold_penalty = if target.warm_up.end(now).is_some() {
            f64::from(COLD_TARGET_COST.saturating_sub(query.prompt_tokens))
        } else {
            0.0
        };
        target.load.work(now, typical_unit_seconds) + to_read + penalty + cold_penalty
    }

    /// The less utilized of two random allowed targets (Mitzenmacher 2001).
    fn two_choices(
        &self,
        now: Timestamp,
        free: &FreeSet,
        query: &PlacementQuery<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<TargetIx> {
        let a = self.random_free(free, query.allowed, rng)?;
        let b = self.random_free(free, query.allowed, rng)?;
        Some(if self.utilization(now, b) < self.utilization(now, a) {
            b
        } else {
            a
        })
    }

    /// Slots in use relative to those that may be used.
    fn utilization(&self, now: Timestamp, ix: TargetIx) -> f64 {
        self.get(ix).map_or(f64::INFINITY, |t| {
            f64::from(t.load.used_slots(now)) / f64::from(self.slots(now, t))
        })
    }
}
