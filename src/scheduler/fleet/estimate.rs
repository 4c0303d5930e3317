//! What a target has of a prompt, and how much it is believed to have to do.

use crate::prelude::*;
use crate::residency::AllowedDomains;
use crate::scheduler::fleet::{Fleet, PoolIx, Target, TargetIx};
use crate::scheduler::{Arrival, LoadEstimate, Placement};

impl Fleet {
    /// An allowed target other than `target` from which the start of a prompt can be fetched: one that is
    /// known to have it, or else its home. `None` if `target` itself is more likely to have it.
    pub(crate) fn neighbour(
        &self,
        now: Timestamp,
        pool: PoolIx,
        key: u64,
        weights: &str,
        target: TargetIx,
        allowed: Option<&AllowedDomains>,
    ) -> Option<(TargetIx, std::net::SocketAddr)> {
        if self.placement != Placement::LeastWorkOfAll {
            let home = self.home_target(now, pool, key, weights, allowed);
            return home.filter(|(ix, _)| *ix != target);
        }
        if self.get(target).is_some_and(|t| t.prefixes.contains(key)) {
            return None;
        }
        let all = self.pool(pool).groups[0].all.iter();
        let holders = all.filter_map(|ix| Some((ix, self.get(ix)?)));
        let holders = holders.filter(|(_, t)| {
            let fits = t.takes_work(now) && t.has_weights(weights) && t.is_allowed(allowed);
            fits && t.prefixes.contains(key)
        });
        let idlest = holders.min_by_key(|(_, t)| t.load.own_load().work);
        idlest.map(|(ix, t)| (ix, t.info.address))
    }

    /// The first allowed target in the rendezvous order of a prefix that has these weights and takes work.
    fn home_target(
        &self,
        now: Timestamp,
        pool: PoolIx,
        key: u64,
        weights: &str,
        allowed: Option<&AllowedDomains>,
    ) -> Option<(TargetIx, std::net::SocketAddr)> {
        let candidates = self.candidates(&self.pool(pool).groups[0].all, key, allowed);
        let mut fitting = candidates
            .into_iter()
            .filter_map(|ix| Some((ix, self.get(ix)?)));
        let fits = |t: &Target| t.takes_work(now) && t.has_weights(weights);
        let (ix, target) = fitting.find(|(_, t)| fits(t))?;
        Some((ix, target.info.address))
    }

    /// Load estimate of a target, and of the home of the prompt if that is another target.
    pub(crate) fn load_estimate(
        &self,
        now: Timestamp,
        ix: TargetIx,
        home: Option<TargetIx>,
    ) -> LoadEstimate {
        let Some(target) = self.get(ix) else {
            return LoadEstimate::default();
        };
        let waiting = |t: &Target| {
            let others = t.load.report.queued_tokens;
            t.load
                .own_load()
                .work
                .saturating_add(u32::try_from(others).unwrap_or(u32::MAX))
        };
        LoadEstimate {
            work: waiting(target),
            requests: target.load.used_slots(now),
            age: target.load.age(now),
            home_work: home.and_then(|ix| self.get(ix)).map(waiting),
        }
    }

    /// Prompt tokens that a target is expected to read: without those that it fetches from a store
    /// and, at the home of the prefix, without half of the other shared tokens.
    pub(crate) fn tokens_to_read(&self, ix: TargetIx, weights: &str, arrival: &Arrival) -> u32 {
        if self.placement == Placement::LeastWorkOfAll {
            return self.tokens_beyond_cache(ix, weights, arrival);
        }
        let home = self.get(ix).is_some_and(|target| {
            let group = &self.pools[target.pool.0].groups[0];
            let key = crate::scheduler::request::key_hash(&arrival.affinity);
            let candidates = self.candidates(&group.all, key, arrival.allowed.as_ref());
            candidates.first() == Some(&ix)
        });
        let n = arrival.weights.iter().position(|w| **w == *weights);
        let stored = n.and_then(|n| arrival.stored_tokens.get(n)).copied();
        let stored = stored.unwrap_or_default();
        let read = arrival.prompt_tokens.saturating_sub(stored);
        if home {
            read.saturating_sub(arrival.shared_tokens.saturating_sub(stored) / 2)
        } else {
            read
        }
    }

    /// Prompt tokens that a target reads beyond those that it has cached or fetches from a store.
    fn tokens_beyond_cache(&self, ix: TargetIx, weights: &str, arrival: &Arrival) -> u32 {
        let key = crate::scheduler::request::key_hash(&arrival.affinity);
        let cached = self.get(ix).is_some_and(|t| t.prefixes.contains(key));
        if cached {
            return arrival.prompt_tokens.saturating_sub(arrival.shared_tokens);
        }
        let n = arrival.weights.iter().position(|w| **w == *weights);
        let stored = n.and_then(|n| arrival.stored_tokens.get(n)).copied();
        arrival
            .prompt_tokens
            .saturating_sub(stored.unwrap_or_default())
    }
}
