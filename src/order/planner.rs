//! Which target is told to load or unload which weight version.

use std::collections::{BTreeMap, BTreeSet};

use crate::catalog::{Catalog, Model, Policy};
use crate::lease::Hold;
use crate::order::share::share_of;
use crate::order::{OrderEffect, OrderEvent, OrderResult};
use crate::prelude::*;
use crate::scheduler::TargetInfo;
use crate::target::{LoadReport, Order, OrderRequest};

/// Time after which an order whose effect is not reported is given again.
const ORDER_TIME: Duration = Duration::from_secs(5);
/// Time without progress after which other domains' unfinished loads are not waited for.
const STALL_TIME: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct Target {
    info: TargetInfo,
    report: Option<LoadReport>,
    ordered: Option<(Order, Timestamp)>,
}

/// The decisions of the entry that gives orders in one failure domain.
#[derive(Debug)]
pub struct OrderPlanner {
    issuer: Name,
    domain: Name,
    unchecked_wait: Duration,
    catalog: Arc<Catalog>,
    targets: BTreeMap<Name, Target>,
    hold: Option<Hold>,
    stale: u64,
    ready_since: BTreeMap<Name, (Name, Timestamp)>,
    progress: (usize, Timestamp),
}

impl OrderPlanner {
    /// Makes a planner; targets that do not check fencing numbers get orders only `unchecked_wait`
    /// after the start of a holding: the lease's time and the longest delay of an order.
    #[must_use]
    pub fn new(issuer: Name, domain: Name, unchecked_wait: Duration) -> Self {
        Self {
            issuer,
            domain,
            unchecked_wait,
            catalog: Arc::default(),
            targets: BTreeMap::new(),
            hold: None,
            stale: 0,
            ready_since: BTreeMap::new(),
            progress: (0, Timestamp::ZERO),
        }
    }

    /// Reacts to one event.
    pub fn on(&mut self, now: Timestamp, event: OrderEvent, effects: &mut Vec<OrderEffect>) {
        match event {
            OrderEvent::Catalog(catalog) => self.catalog = catalog,
            OrderEvent::Targets(list) => self.take_list(list),
            OrderEvent::Report { target, report } => self.take_report(&target, report),
            OrderEvent::Lease(hold) => self.hold = hold,
            OrderEvent::Ended {
                target,
                fencing,
                result: OrderResult::Stale,
            } => self.refused(&target, fencing),
            // An order without an answer stays noted: the target may carry it out.
            OrderEvent::Ended { .. } | OrderEvent::Tick => {}
        }
        self.forget_late_orders(now);
        let Some(hold) = self.hold.filter(|hold| now < hold.until) else {
            return;
        };
        let seen = self.greatest_fencing();
        if seen > hold.fencing || self.stale >= hold.fencing {
            let fencing = seen.max(self.stale);
            effects.push(OrderEffect::Raise { fencing });
            self.hold = None;
            return;
        }
        let catalog = self.catalog.clone();
        for (name, model) in &catalog.declarations.models {
            self.plan_loads(now, hold, name, model, effects);
            self.plan_unloads(now, hold, name, model, effects);
        }
    }

    fn take_list(&mut self, list: Vec<TargetInfo>) {
        let mut old = std::mem::take(&mut self.targets);
        for info in list {
            let known = old.remove(&info.name);
            let (report, ordered) = known.map_or((None, None), |t| (t.report, t.ordered));
            let target = Target {
                info,
                report,
                ordered,
            };
            self.targets.insert(target.info.name.clone(), target);
        }
    }

    fn take_report(&mut self, name: &str, report: LoadReport) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let done = match &target.ordered {
            Some((Order::Load { weights }, _)) => {
                report.weights.contains(weights) || report.loading.as_ref() == Some(weights)
            }
            Some((Order::Unload { weights }, _)) => !report.weights.contains(weights),
            None => false,
        };
        if done {
            target.ordered = None;
        }
        target.report = Some(report);
    }

    fn refused(&mut self, name: &str, fencing: u64) {
        self.stale = self.stale.max(fencing);
        if let Some(target) = self.targets.get_mut(name) {
            target.ordered = None;
        }
    }

    /// The greatest fencing number that targets of the own domain report.
    fn greatest_fencing(&self) -> u64 {
        let mine = self
            .targets
            .values()
            .filter(|t| t.info.domain == self.domain);
        let seen = mine.filter_map(|t| t.report.as_ref().map(|r| r.fencing));
        seen.max().unwrap_or_default()
    }

    fn forget_late_orders(&mut self, now: Timestamp) {
        for target in self.targets.values_mut() {
            let late = |(_, at): &(Order, Timestamp)| now >= *at + ORDER_TIME;
            if target.ordered.as_ref().is_some_and(late) {
                target.ordered = None;
            }
        }
    }

    fn plan_loads(
        &mut self,
        now: Timestamp,
        hold: Hold,
        model: &Name,
        wanted: &Model,
        effects: &mut Vec<OrderEffect>,
    ) {
        let policy = self.catalog.declarations.policies.get(&wanted.policy);
        let limit = policy.map_or(1, |p| p.loads_at_once);
        let limit = self.allowed(now, model, &wanted.weights, limit);
        let mine: Vec<&Target> = self.mine(model).collect();
        let in_service = mine.len().div_ceil(2).min(mine.len().saturating_sub(1));
        let spare = mine.len() - in_service;
        let busy = mine.iter().filter(|t| t.is_loading()).count();
        let room = (limit as usize).min(spare).saturating_sub(busy);
        let mut candidates: Vec<&Target> = mine
            .into_iter()
            .filter(|t| t.lacks(&wanted.weights) && !t.is_loading() && t.ordered.is_none())
            .filter(|t| self.may_order(now, hold, t))
            .collect();
        candidates.sort_by_key(|t| (t.load(), t.info.name.clone()));
        let chosen: Vec<Name> = candidates.iter().map(|t| t.info.name.clone()).collect();
        for name in chosen.into_iter().take(room) {
            let weights = wanted.weights.clone();
            self.order(now, hold, &name, Order::Load { weights }, effects);
        }
    }

    /// Tells whether half of the targets have had the wanted version for as long as a request
    /// admitted for an older one may wait.
    fn may_unload(&mut self, now: Timestamp, model: &Name, wanted: &Model) -> bool {
        let (all, ready) = self.mine(model).fold((0, 0), |(all, ready), target| {
            (all + 1, ready + usize::from(!target.lacks(&wanted.weights)))
        });
        if ready * 2 < all {
            self.ready_since.remove(model);
            return false;
        }
        let policy = self.catalog.declarations.policies.get(&wanted.policy);
        let wait = policy.map_or(Duration::ZERO, Policy::first_token);
        let since = self.ready_since.entry(model.clone());
        let since = since.or_insert_with(|| (wanted.weights.clone(), now));
        if since.0 != wanted.weights {
            *since = (wanted.weights.clone(), now);
        }
        now >= since.1 + wait
    }

    /// Unloads versions other than the wanted one from the targets that have it.
    fn plan_unloads(
        &mut self,
        now: Timestamp,
        hold: Hold,
        model: &Name,
        wanted: &Model,
        effects: &mut Vec<OrderEffect>,
    ) {
        if !self.may_unload(now, model, wanted) {
            return;
        }
        let mine: Vec<&Target> = self.mine(model).collect();
        let chosen: Vec<(Name, Name)> = mine
            .into_iter()
            .filter(|t| !t.lacks(&wanted.weights) && t.ordered.is_none() && !t.is_loading())
            .filter(|t| self.may_order(now, hold, t))
            .filter_map(|t| {
                let weights = &t.report.as_ref()?.weights;
                let old = weights.iter().find(|w| **w != wanted.weights)?;
                Some((t.info.name.clone(), old.clone()))
            })
            .collect();
        for (name, weights) in chosen {
            self.order(now, hold, &name, Order::Unload { weights }, effects);
        }
    }

    /// Targets of the own domain that serve a model and stay.
    fn mine(&self, model: &Name) -> impl Iterator<Item = &Target> {
        let serving = self.targets.values().filter(move |t| t.serves(model));
        serving.filter(|t| t.info.domain == self.domain)
    }

    /// Loads that the own domain may have under way: its share while other domains load too, what
    /// they leave over otherwise.
    fn allowed(&mut self, now: Timestamp, model: &Name, weights: &Name, limit: u32) -> u32 {
        let serving = || self.targets.values().filter(|t| t.serves(model));
        let others = || serving().filter(|t| t.info.domain != self.domain);
        let missing = others().filter(|t| t.lacks(weights)).count();
        if missing != self.progress.0 {
            self.progress = (missing, now);
        }
        let stalled = now.saturating_sub(self.progress.1) >= STALL_TIME;
        let serving = || self.targets.values().filter(|t| t.serves(model));
        let others = || serving().filter(|t| t.info.domain != self.domain);
        let loading = others().filter(|t| t.is_loading()).count();
        let left = limit.saturating_sub(u32::try_from(loading).unwrap_or(u32::MAX));
        if missing == 0 || stalled {
            return left;
        }
        let unfinished = serving().filter(|t| t.lacks(weights));
        let domains: BTreeSet<Name> = unfinished.map(|t| t.info.domain.clone()).collect();
        let domains: Vec<Name> = domains.into_iter().collect();
        share_of(limit, &self.domain, &domains).min(left)
    }

    fn may_order(&self, now: Timestamp, hold: Hold, target: &Target) -> bool {
        if target.report.is_none() {
            return false;
        }
        let trust = self.catalog.declarations.trust.get(&target.info.name);
        let checks = trust.is_some_and(|t| t.checks_fencing);
        let waited = now >= hold.since + self.unchecked_wait;
        checks || waited
    }

    fn order(
        &mut self,
        now: Timestamp,
        hold: Hold,
        name: &Name,
        order: Order,
        effects: &mut Vec<OrderEffect>,
    ) {
        assert!(now < hold.until, "an order without the lease");
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        assert!(
            target.info.domain == self.domain,
            "an order to another domain"
        );
        target.ordered = Some((order.clone(), now));
        effects.push(OrderEffect::Send {
            target: name.clone(),
            address: target.info.address,
            request: OrderRequest {
                fencing: hold.fencing,
                issuer: self.issuer.clone(),
                order,
            },
        });
    }
}

impl Target {
    fn serves(&self, model: &Name) -> bool {
        let leaving = self.info.leaving || self.report.as_ref().is_some_and(|r| r.leaving);
        self.info.serves == *model && !leaving
    }

    fn lacks(&self, weights: &Name) -> bool {
        let report = self.report.as_ref();
        report.is_none_or(|r| !r.weights.contains(weights))
    }

    fn is_loading(&self) -> bool {
        let reported = self.report.as_ref().is_some_and(|r| r.loading.is_some());
        reported || matches!(self.ordered, Some((Order::Load { .. }, _)))
    }

    fn load(&self) -> u32 {
        let report = self.report.as_ref();
        report.map_or(u32::MAX, |r| r.running.saturating_add(r.queued))
    }
}
