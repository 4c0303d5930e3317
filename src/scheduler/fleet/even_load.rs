//! Even load on targets that many schedulers choose, each of which learns late of the others'
//! requests.

use crate::balance::{Demand, Distribution, TargetView};
use crate::prelude::*;
use crate::scheduler::LoadSpread;
use crate::scheduler::fleet::{Fleet, Pool, PoolIx, Target, TargetIx, WeightsGroup};

/// Assumed time for which a request occupies a slot before any has ended.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(100);
/// Highest utilization at which a rejection is taken to have a reason other than full slots.
const HALF_UTILIZED: f64 = 0.5;

/// A target and what is known of it.
struct Candidate {
    ix: TargetIx,
    view: TargetView,
    local: bool,
    usable: bool,
}

impl Fleet {
    /// Selects a target from the distribution that levels the load; `None` unless the load of the
    /// group's targets is known late. Targets of the own failure domain are preferred as far
    /// as they are not fuller than the others.
    pub(super) fn select_evenly(
        &self,
        now: Timestamp,
        group: &WeightsGroup,
        allowed: impl Fn(&TargetIx) -> bool,
        rng: &mut fastrand::Rng,
    ) -> Option<TargetIx> {
        let targets = group.all.iter().filter_map(|ix| Some((ix, self.get(ix)?)));
        let targets: SmallVec<[(TargetIx, &Target); 8]> = targets.collect();
        // A target that was just listed has no report yet.
        let (_, known) = targets.iter().find(|(_, t)| t.load.is_known_late())?;
        let (choosers, pool) = (known.load.choosers(), self.pool(known.pool));
        let candidates = targets.iter().map(|(ix, t)| Candidate {
            ix: *ix,
            view: self.late_view(now, t),
            local: t.local,
            usable: t.takes_work(now) && allowed(ix),
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let demand = demand(pool, choosers, &candidates);
        let local = rng.f64() >= pool.spill.share();
        let mut usable: Vec<Candidate> = candidates.into_iter().filter(|c| c.usable).collect();
        if usable.iter().any(|c| c.local == local) {
            usable.retain(|c| c.local == local);
        }
        let usable = usable.into_iter().map(|c| (c.ix, c.view));
        let (ixs, views): (Vec<TargetIx>, Vec<TargetView>) = usable.unzip();
        let drawn = Distribution::level(now, &demand, &views).draw(rng)?;
        ixs.get(drawn).copied()
    }

    /// How evenly the targets are loaded, for each pool whose load is known late.
    pub(crate) fn load_spreads(&self, now: Timestamp) -> Vec<LoadSpread> {
        let pools = self.by_serves.iter();
        let spreads =
            pools.filter_map(|(serves, ix)| self.load_spread(now, serves, self.pool(*ix)));
        spreads.collect()
    }

    fn load_spread(&self, now: Timestamp, serves: &Name, pool: &Pool) -> Option<LoadSpread> {
        let targets = pool.groups[0].all.iter().filter_map(|ix| self.get(ix));
        let known_late = targets.filter(|t| t.load.is_known_late() && t.takes_work(now));
        let views: Vec<TargetView> = known_late.map(|t| self.late_view(now, t)).collect();
        let demand = demand(pool, 1, &[]);
        let each = views.iter().map(|view| utilization([view]));
        let least = each.clone().min_by(f64::total_cmp)?;
        Some(LoadSpread {
            serves: serves.clone(),
            targets: views.len(),
            full: views.iter().filter(|v| v.is_full(now, &demand)).count(),
            least,
            mean: utilization(&views),
            most: each.fold(least, f64::max),
            moved: pool.spill.share(),
        })
    }

    /// Updates the share of a pool's requests that goes beyond the own failure domain.
    pub(super) fn update_spill(&mut self, now: Timestamp, ix: PoolIx) {
        let pool = self.pool(ix);
        if !pool.spill.is_due(now) {
            return;
        }
        let targets = pool.groups[0].all.iter();
        let targets = targets.filter_map(|ix| self.get(ix));
        let known_late = targets.filter(|t| t.load.is_known_late() && t.takes_work(now));
        let views: Vec<(bool, TargetView)> = known_late
            .map(|t| (t.local, self.late_view(now, t)))
            .collect();
        let local = views.iter().filter(|(local, _)| *local);
        let own = utilization(local.map(|(_, view)| view));
        let all = utilization(views.iter().map(|(_, view)| view));
        self.pool_mut(ix).spill.update(now, own, all);
    }

    fn late_view(&self, now: Timestamp, target: &Target) -> TargetView {
        let typical_unit_seconds = self.pool(target.pool).typical_unit_seconds.get();
        let load = &target.load;
        load.late_view(now, self.default_slots, typical_unit_seconds)
    }

    /// Whether a target whose load is known late has room.
    pub(super) fn has_late_room(&self, now: Timestamp, target: &Target) -> bool {
        let demand = demand(self.pool(target.pool), target.load.choosers(), &[]);
        target.load.admits(now) && !self.late_view(now, target).is_full(now, &demand)
    }

    /// When a target that is full by what is known late of others' requests counts as having room
    /// again; `None` for any other target.
    pub(crate) fn full_until(&self, now: Timestamp, ix: TargetIx) -> Option<Timestamp> {
        let target = self.get(ix).filter(|t| t.load.is_known_late())?;
        let demand = demand(self.pool(target.pool), target.load.choosers(), &[]);
        self.late_view(now, target).full_until(now, &demand)
    }

    /// Records a rejection as an observation that the target is full. Returns `false` if the load of
    /// the target is not known late, or if the rejection had another reason because the target was
    /// believed to be at most half full.
    pub(crate) fn record_rejection(&mut self, now: Timestamp, ix: TargetIx) -> bool {
        let default_slots = self.default_slots;
        let Some(target) = self.get(ix).filter(|t| t.load.is_known_late()) else {
            return false;
        };
        let is_news = utilization([&self.late_view(now, target)]) > HALF_UTILIZED;
        if let Some(target) = self.get_mut(ix) {
            target.load.record_rejection(now, default_slots);
        }
        self.refresh(now, ix);
        is_news
    }
}

/// What all schedulers ask of a pool's targets, by the requests that were seen at the targets. If
/// this scheduler alone has more than its part of them, a burst has begun of which no report tells.
fn demand(pool: &Pool, choosers: u32, candidates: &[Candidate]) -> Demand {
    let seconds = pool.service_seconds.get();
    let service_time = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
    let seen = candidates.iter().map(|c| {
        let others = c.view.seen.map_or(0, |seen| seen.others());
        others.saturating_add(c.view.own)
    });
    let seen: f64 = seen.map(f64::from).sum();
    let own: f64 = candidates.iter().map(|c| f64::from(c.view.own)).sum();
    let in_flight = seen.max(own * f64::from(choosers));
    let service_time = service_time.unwrap_or(INITIAL_SERVICE_TIME);
    Demand::from_in_flight(choosers, in_flight, service_time)
}

/// Requests seen at targets, relative to their slots. It is not reduced by the age of what was seen,
/// since the load of several targets together changes less than that of one.
fn utilization<'a>(views: impl IntoIterator<Item = &'a TargetView>) -> f64 {
    let (mut requests, mut slots) = (0.0, 0.0);
    for view in views {
        let others = view.seen.map_or(0, |seen| seen.others());
        requests += f64::from(others) + f64::from(view.own);
        slots += f64::from(view.slots) * view.weight;
    }
    if slots > 0.0 { requests / slots } else { 0.0 }
}
