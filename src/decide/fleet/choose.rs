//! Choice of a target with room.

use crate::decide::fleet::{Fleet, Group, Isolation, Pool, PoolIx, Target, TargetIx, Wish};
use crate::decide::{Arrival, Belief, Placement};
use crate::prelude::*;

/// Targets in the order of a prefix that are considered.
const HOMES: usize = 2;
/// Random targets that are considered besides.
const RANDOM_CANDIDATES: usize = 4;
/// Work, in prompt tokens, that is accepted to have a request begin on the newest weights.
const OLD_WEIGHTS: f64 = 2_000.0;
/// Random targets in the failure domain of the store that keeps a prompt's shared part, and the
/// random ones looked at for them.
const NEAR_CANDIDATES: usize = 2;
const NEAR_TRIES: usize = 8;
/// Work of fetching a token from a store of the same failure domain, against reading it.
const FETCH_COST: f64 = 0.25;
/// The same from a store of another one, over a path that takes twice as long.
const FAR_FETCH_COST: f64 = 0.5;
/// Share of shared tokens that the home of a prefix is expected to hold.
const HOME_HIT: f64 = 0.9;

impl Fleet {
    /// Tells whether any target with one of these weight versions has room.
    pub(crate) fn any_free(&self, pool: PoolIx, weights: &[Name]) -> bool {
        let pool = self.pool(pool);
        if weights.is_empty() {
            return !pool.groups[0].free.is_empty();
        }
        let mut groups = weights.iter().filter_map(|w| pool.group(w));
        groups.any(|g| !g.free.is_empty())
    }

    /// Chooses a target with room, trying the weight versions in order.
    pub(crate) fn choose(
        &self,
        now: Timestamp,
        pool: PoolIx,
        weights: &[Name],
        wish: &Wish<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<(TargetIx, Name)> {
        let pool = self.pool(pool);
        let plain = [Name::from("")];
        let weights = if weights.is_empty() { &plain } else { weights };
        let by_work = self.placement == Placement::LeastWork && wish.has_prefix;
        if by_work && wish.only.is_empty() && wish.isolate.is_none() {
            return self.choose_least_work(now, pool, weights, wish, rng);
        }
        for weights in weights {
            let Some(group) = pool.group(weights) else {
                continue;
            };
            if let Some(isolation) = wish.isolate {
                if let Some(ix) = self.isolated(now, group, isolation) {
                    return self.alone(ix).then(|| (ix, weights.clone()));
                }
            } else if let Some(ix) = self.choose_in(now, group, wish, rng) {
                return Some((ix, weights.clone()));
            }
        }
        None
    }

    /// Chooses any target that takes work, with the fewest requests for its size, even without room.
    pub(crate) fn choose_crowded(
        &self,
        now: Timestamp,
        pool: PoolIx,
        weights: &[Name],
        key: u64,
    ) -> Option<(TargetIx, Name)> {
        let pool = self.pool(pool);
        let plain = [Name::from("")];
        let weights = if weights.is_empty() { &plain } else { weights };
        weights.iter().find_map(|weights| {
            let candidates = pool.group(weights)?.all.candidates(key);
            let usable = candidates.into_iter().filter(|ix| self.usable(now, *ix));
            let best =
                usable.min_by(|a, b| self.pressure(now, *a).total_cmp(&self.pressure(now, *b)));
            best.map(|ix| (ix, weights.clone()))
        })
    }

    fn usable(&self, now: Timestamp, ix: TargetIx) -> bool {
        self.get(ix).is_some_and(|t| t.takes_work(now))
    }

    fn isolated(
        &self,
        now: Timestamp,
        group: &Group,
        isolation: Isolation<'_>,
    ) -> Option<TargetIx> {
        let candidates = group.all.candidates(isolation.key);
        candidates.into_iter().find(|ix| {
            self.get(*ix)
                .is_some_and(|t| t.takes_work(now) && !isolation.victims.contains(&t.info.name))
        })
    }

    fn alone(&self, ix: TargetIx) -> bool {
        self.get(ix).is_some_and(|t| t.free && t.suspects == 0)
    }

    fn choose_in(
        &self,
        now: Timestamp,
        group: &Group,
        wish: &Wish<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<TargetIx> {
        let allowed = |ix: &TargetIx| self.get(*ix).is_some_and(|t| t.free);
        if !wish.only.is_empty() {
            let fits = |ix: &TargetIx| {
                let target = self.get(*ix);
                allowed(ix) && target.is_some_and(|t| t.has_weights(&group.weights))
            };
            return wish.only.iter().copied().find(fits);
        }
        let fresh = |ix: &TargetIx| allowed(ix) && !wish.avoid.contains(ix);
        if wish.has_prefix {
            let mut candidates = group.all.candidates(wish.key).into_iter();
            if let Some(ix) = candidates.find(fresh) {
                return Some(ix);
            }
        }
        let local = self.two_choices(now, &group.free_local, rng);
        let any = local
            .filter(fresh)
            .or_else(|| self.two_choices(now, &group.free, rng));
        let any = any.filter(fresh);
        any.or_else(|| group.all.candidates(wish.key).into_iter().find(fresh))
            .or_else(|| self.two_choices(now, &group.free, rng))
    }

    /// The first targets in the order of a prefix and some random ones: entries hear of each other's
    /// load late, so not all of them may look for the one that seems least loaded.
    fn few_candidates(
        &self,
        group: &Group,
        wish: &Wish<'_>,
        rng: &mut fastrand::Rng,
    ) -> SmallVec<[TargetIx; 8]> {
        let mut few: SmallVec<[TargetIx; 8]> = group.all.candidates(wish.key).into_iter().collect();
        few.truncate(HOMES);
        for _ in 0..RANDOM_CANDIDATES {
            few.extend(group.free.random(rng));
        }
        let tries = if wish.kept_domain.is_some() {
            NEAR_TRIES
        } else {
            0
        };
        let drawn = (0..tries).filter_map(|_| group.free.random(rng));
        let near = drawn.filter(|ix| self.is_near(*ix, wish));
        few.extend(near.take(NEAR_CANDIDATES));
        few
    }

    /// Whether a target is in the failure domain of the store that keeps a prompt's shared part.
    fn is_near(&self, ix: TargetIx, wish: &Wish<'_>) -> bool {
        self.get(ix)
            .is_some_and(|t| Some(&t.info.domain) == wish.kept_domain)
    }

    /// The target that begins to generate first, over all weight versions, and the version it has.
    fn choose_least_work(
        &self,
        now: Timestamp,
        pool: &Pool,
        weights: &[Name],
        wish: &Wish<'_>,
        rng: &mut fastrand::Rng,
    ) -> Option<(TargetIx, Name)> {
        let all = &pool.groups[0];
        let free = |ix: &TargetIx| self.get(*ix).is_some_and(|t| t.free);
        let fresh = |ix: &TargetIx| free(ix) && !wish.avoid.contains(ix);
        let few = self.few_candidates(all, wish, rng);
        let home = few.first().copied();
        let least = |ixs: &[TargetIx], allowed: &dyn Fn(&TargetIx) -> bool| {
            let usable = ixs.iter().copied().filter(|ix| allowed(ix));
            let costs = usable.filter_map(|ix| {
                let target = self.get(ix)?;
                let n = weights.iter().position(|w| target.has_weights(w))?;
                let cost = self.cost(now, target, n, Some(ix) == home, wish);
                Some((cost, ix, n))
            });
            costs.min_by(|a, b| a.0.total_cmp(&b.0))
        };
        let everyone: Vec<TargetIx> = all.all.iter().collect();
        let best = least(&few, &fresh).or_else(|| least(&everyone, &fresh));
        let (_, ix, n) = best.or_else(|| least(&everyone, &free))?;
        Some((ix, weights[n].clone()))
    }

    /// Work until a target begins to generate: what waits there, and the part of the prompt that it
    /// has to read or fetch; `n` is the place of its weights in the order of preference.
    fn cost(&self, now: Timestamp, target: &Target, n: usize, home: bool, wish: &Wish<'_>) -> f64 {
        let typical = self.pools[target.pool.0].typical.get();
        let kept = wish.kept_tokens.get(n).copied().unwrap_or_default();
        let unkept = wish.shared_tokens.saturating_sub(kept);
        let near = Some(&target.info.domain) == wish.kept_domain;
        let fetch = if near { FETCH_COST } else { FAR_FETCH_COST };
        let away = f64::from(unkept) + f64::from(kept) * fetch;
        let read = if home { away * (1.0 - HOME_HIT) } else { away };
        let old = if n == 0 { 0.0 } else { OLD_WEIGHTS };
        target.load.work(now, typical) + read + old
    }

    /// The first target in the order of a prefix that has these weights and takes work.
    pub(crate) fn home(
        &self,
        now: Timestamp,
        pool: PoolIx,
        key: u64,
        weights: &str,
    ) -> Option<(TargetIx, std::net::SocketAddr)> {
        let candidates = self.pool(pool).groups[0].all.candidates(key).into_iter();
        let mut fitting = candidates.filter_map(|ix| Some((ix, self.get(ix)?)));
        let fits = |t: &Target| t.takes_work(now) && t.has_weights(weights);
        let (ix, target) = fitting.find(|(_, t)| fits(t))?;
        Some((ix, target.info.address))
    }

    /// What is believed of a target, and of another that likely holds a prompt's start.
    pub(crate) fn belief(&self, now: Timestamp, ix: TargetIx, home: Option<TargetIx>) -> Belief {
        let Some(target) = self.get(ix) else {
            return Belief::default();
        };
        let waiting = |t: &Target| {
            let others = t.load.report.queued_tokens;
            t.load
                .own_load()
                .work
                .saturating_add(u32::try_from(others).unwrap_or(u32::MAX))
        };
        Belief {
            work: waiting(target),
            requests: target.load.used(now),
            age: target.load.age(now),
            home_work: home.and_then(|ix| self.get(ix)).map(waiting),
        }
    }

    /// Tokens of a prompt that a target has to read.
    pub(crate) fn tokens_to_read(&self, ix: TargetIx, weights: &str, arrival: &Arrival) -> u32 {
        let home = self.get(ix).is_some_and(|target| {
            let group = &self.pools[target.pool.0].groups[0];
            let key = crate::decide::request::word(&arrival.affinity);
            group.all.candidates(key).first() == Some(&ix)
        });
        let n = arrival.weights.iter().position(|w| **w == *weights);
        let kept = n.and_then(|n| arrival.kept_tokens.get(n)).copied();
        let kept = kept.unwrap_or_default();
        let read = arrival.tokens.saturating_sub(kept);
        if home {
            read.saturating_sub(arrival.shared_tokens.saturating_sub(kept) / 2)
        } else {
            read
        }
    }

    /// The less loaded of two random targets (Mitzenmacher 2001).
    fn two_choices(
        &self,
        now: Timestamp,
        free: &crate::decide::fleet::FreeSet,
        rng: &mut fastrand::Rng,
    ) -> Option<TargetIx> {
        let a = free.random(rng)?;
        let b = free.random(rng)?;
        Some(if self.pressure(now, b) < self.pressure(now, a) {
            b
        } else {
            a
        })
    }

    /// Used part of a target's slots.
    fn pressure(&self, now: Timestamp, ix: TargetIx) -> f64 {
        self.get(ix).map_or(f64::INFINITY, |t| {
            f64::from(t.load.used(now)) / f64::from(self.slots(now, t))
        })
    }
}
