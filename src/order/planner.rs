//! Decides which targets load or unload which weight versions.

use std::collections::{BTreeMap, BTreeSet};

use crate::catalog::{Catalog, Model, Policy};
use crate::lease::HeldLease;
use crate::order::share::domain_share;
use crate::order::{OrderEffect, OrderEvent, OrderResult};
use crate::prelude::*;
use crate::scheduler::TargetInfo;
use crate::target::{LoadReport, Order, OrderRequest};

/// Time after which an order is given again if the target's reports don't show its effect.
const ORDER_EFFECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without progress in the other domains after which no loads are reserved for them.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct Target {
    info: TargetInfo,
    report: Option<LoadReport>,
    /// Order whose effect is not reported yet, and when it was given.
    pending_order: Option<(Order, Timestamp)>,
}

/// Plans the orders of one failure domain. It does no I/O: it takes events and returns effects.
#[derive(Debug)]
pub struct OrderPlanner {
    issuer: Name,
    domain: Name,
    unchecked_wait: Duration,
    catalog: Arc<Catalog>,
    targets: BTreeMap<Name, Target>,
    held: Option<HeldLease>,
    /// Greatest fencing token of the orders that targets refused as stale.
    refused_fencing: u64,
    /// By model: the weight version that half of the targets have ready, and since when.
    ready_since: BTreeMap<Name, (Name, Timestamp)>,
    /// Progress of the other domains, by model.
    others: BTreeMap<Name, OtherDomains>,
}

/// Progress of the other domains with one model.
#[derive(Clone, Copy, Debug)]
struct OtherDomains {
    /// Number of their targets that lack the wanted version.
    lacking: usize,
    /// When that number last changed.
    changed_at: Timestamp,
}

impl OrderPlanner {
    /// Creates a planner. A target that does not check fencing tokens gets no order until
    /// `unchecked_wait` after the lease was acquired. This time must cover the duration of the
    /// lease and the longest delay of an order, so that no order of an earlier holder is still
    /// in transit.
    #[must_use]
    pub fn new(issuer: Name, domain: Name, unchecked_wait: Duration) -> Self {
        Self {
            issuer,
            domain,
            unchecked_wait,
            catalog: Arc::default(),
            targets: BTreeMap::new(),
            held: None,
            refused_fencing: 0,
            ready_since: BTreeMap::new(),
            others: BTreeMap::new(),
        }
    }

    /// Handles an event and appends the effects that follow from it.
    pub fn on(&mut self, now: Timestamp, event: OrderEvent, effects: &mut Vec<OrderEffect>) {
        match event {
            OrderEvent::Catalog(catalog) => self.catalog = catalog,
            OrderEvent::Targets(list) => self.set_targets(list),
            OrderEvent::Report { target, report } => self.record_report(&target, report),
            OrderEvent::Lease(held) => self.held = held,
            OrderEvent::Ended {
                target,
                fencing,
                result: OrderResult::Stale,
            } => self.on_stale_order(&target, fencing),
            // Other orders stay pending until a report shows their effect: the target may carry out
            // even one that got no answer.
            OrderEvent::Ended { .. } | OrderEvent::Tick => {}
        }
        self.expire_pending_orders(now);
        let Some(lease) = self.held.filter(|held| now < held.until) else {
            return;
        };
        let reported = self.greatest_reported_fencing();
        if reported > lease.fencing || self.refused_fencing >= lease.fencing {
            let fencing = reported.max(self.refused_fencing);
            effects.push(OrderEffect::Raise { fencing });
            self.held = None;
            return;
        }
        let catalog = self.catalog.clone();
        for (name, model) in &catalog.declarations.models {
            self.plan_loads(now, lease, name, model, effects);
            self.plan_unloads(now, lease, name, model, effects);
        }
    }

    fn set_targets(&mut self, list: Vec<TargetInfo>) {
        let mut old = std::mem::take(&mut self.targets);
        for info in list {
            let known = old.remove(&info.name);
            let (report, pending_order) =
                known.map_or((None, None), |t| (t.report, t.pending_order));
            let target = Target {
                info,
                report,
                pending_order,
            };
            self.targets.insert(target.info.name.clone(), target);
        }
    }

    fn record_report(&mut self, name: &str, report: LoadReport) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let has_effect = match &target.pending_order {
            Some((Order::Load { weights }, _)) => {
                report.weights.contains(weights) || report.loading.as_ref() == Some(weights)
            }
            Some((Order::Unload { weights }, _)) => !report.weights.contains(weights),
            None => false,
        };
        if has_effect {
            target.pending_order = None;
        }
        target.report = Some(report);
    }

    fn on_stale_order(&mut self, name: &str, fencing: u64) {
        self.refused_fencing = self.refused_fencing.max(fencing);
        if let Some(target) = self.targets.get_mut(name) {
            target.pending_order = None;
        }
    }

    /// Greatest fencing token that targets of this domain report.
    fn greatest_reported_fencing(&self) -> u64 {
        let domain_targets = self
            .targets
            .values()
            .filter(|t| t.info.domain == self.domain);
        let reported = domain_targets.filter_map(|t| t.report.as_ref().map(|r| r.fencing));
        reported.max().unwrap_or_default()
    }

    /// Drops pending orders whose effect is overdue, so that they are given again.
    fn expire_pending_orders(&mut self, now: Timestamp) {
        for target in self.targets.values_mut() {
            let is_expired = |(_, at): &(Order, Timestamp)| now >= *at + ORDER_EFFECT_TIMEOUT;
            if target.pending_order.as_ref().is_some_and(is_expired) {
                target.pending_order = None;
            }
        }
    }

    /// Orders targets to load the wanted version, those with the fewest requests first, within this
    /// domain's limit. At most half of the domain's targets of the model load at a time, but at
    /// least one may, so that the others stay in service.
    fn plan_loads(
        &mut self,
        now: Timestamp,
        lease: HeldLease,
        model: &Name,
        wanted: &Model,
        effects: &mut Vec<OrderEffect>,
    ) {
        let policy = self.catalog.declarations.policies.get(&wanted.policy);
        let limit = policy.map_or(1, |p| p.loads_at_once);
        let limit = self.domain_load_limit(now, model, &wanted.weights, limit);
        let serving: Vec<&Target> = self.domain_targets(model).collect();
        let min_in_service = serving
            .len()
            .div_ceil(2)
            .min(serving.len().saturating_sub(1));
        let spare = serving.len() - min_in_service;
        let loading = serving.iter().filter(|t| t.is_loading()).count();
        let new_loads = (limit as usize).min(spare).saturating_sub(loading);
        let mut candidates: Vec<&Target> = serving
            .into_iter()
            .filter(|t| t.lacks(&wanted.weights) && !t.is_loading() && t.pending_order.is_none())
            .filter(|t| self.may_order(now, lease, t))
            .collect();
        candidates.sort_by_key(|t| (t.requests(), t.info.name.clone()));
        let names: Vec<Name> = candidates.iter().map(|t| t.info.name.clone()).collect();
        for name in names.into_iter().take(new_loads) {
            let weights = wanted.weights.clone();
            self.give_order(now, lease, &name, Order::Load { weights }, effects);
        }
    }

    /// Whether older versions may be unloaded: half of the targets have had the wanted version
    /// ready for as long as a request that was admitted for an older one may wait.
    fn may_unload(&mut self, now: Timestamp, model: &Name, wanted: &Model) -> bool {
        let (all, ready) = self
            .domain_targets(model)
            .fold((0, 0), |(all, ready), target| {
                (all + 1, ready + usize::from(!target.lacks(&wanted.weights)))
            });
        if ready * 2 < all {
            self.ready_since.remove(model);
            return false;
        }
        let policy = self.catalog.declarations.policies.get(&wanted.policy);
        let admitted_wait = policy.map_or(Duration::ZERO, Policy::first_token);
        let since = self.ready_since.entry(model.clone());
        let since = since.or_insert_with(|| (wanted.weights.clone(), now));
        if since.0 != wanted.weights {
            *since = (wanted.weights.clone(), now);
        }
        now >= since.1 + admitted_wait
    }

    /// Orders targets that have the wanted version to unload other versions, one order for each
    /// target at a time.
    fn plan_unloads(
        &mut self,
        now: Timestamp,
        lease: HeldLease,
        model: &Name,
        wanted: &Model,
        effects: &mut Vec<OrderEffect>,
    ) {
        if !self.may_unload(now, model, wanted) {
            return;
        }
        let serving: Vec<&Target> = self.domain_targets(model).collect();
        let unloads: Vec<(Name, Name)> = serving
            .into_iter()
            .filter(|t| !t.lacks(&wanted.weights) && t.pending_order.is_none() && !t.is_loading())
            .filter(|t| self.may_order(now, lease, t))
            .filter_map(|t| {
                let weights = &t.report.as_ref()?.weights;
                let old = weights.iter().find(|w| **w != wanted.weights)?;
                Some((t.info.name.clone(), old.clone()))
            })
            .collect();
        for (name, weights) in unloads {
            self.give_order(now, lease, &name, Order::Unload { weights }, effects);
        }
    }

    /// Targets of this domain that serve a model and are not leaving.
    fn domain_targets(&self, model: &Name) -> impl Iterator<Item = &Target> {
        let serving = self.targets.values().filter(move |t| t.serves(model));
        serving.filter(|t| t.info.domain == self.domain)
    }

    /// Limit of concurrent loads in this domain: its share of `limit` while targets of other
    /// domains lack the version too, and otherwise whatever the other domains' loads leave.
    fn domain_load_limit(
        &mut self,
        now: Timestamp,
        model: &Name,
        weights: &Name,
        limit: u32,
    ) -> u32 {
        let serving = || self.targets.values().filter(|t| t.serves(model));
        let others = || serving().filter(|t| t.info.domain != self.domain);
        let lacking = others().filter(|t| t.lacks(weights)).count();
        let stalled = is_stalled(&mut self.others, now, model, lacking);
        let loading = others().filter(|t| t.is_loading()).count();
        let left = limit.saturating_sub(u32::try_from(loading).unwrap_or(u32::MAX));
        if lacking == 0 || stalled {
            return left;
        }
        let unfinished = serving().filter(|t| t.lacks(weights));
        let domains: BTreeSet<Name> = unfinished.map(|t| t.info.domain.clone()).collect();
        let domains: Vec<Name> = domains.into_iter().collect();
        domain_share(limit, &self.domain, &domains).min(left)
    }

    /// Whether a target may get orders now: it has reported, and either checks fencing tokens
    /// itself or can no longer receive an earlier holder's order.
    fn may_order(&self, now: Timestamp, lease: HeldLease, target: &Target) -> bool {
        if target.report.is_none() {
            return false;
        }
        let trust = self.catalog.declarations.trust.get(&target.info.name);
        let checks_fencing = trust.is_some_and(|t| t.checks_fencing);
        let has_waited = now >= lease.since + self.unchecked_wait;
        checks_fencing || has_waited
    }

    /// Gives an order to a target of this domain. It is pending until a report shows its effect,
    /// the target refuses it as stale or [`ORDER_EFFECT_TIMEOUT`] has passed.
    fn give_order(
        &mut self,
        now: Timestamp,
        lease: HeldLease,
        name: &Name,
        order: Order,
        effects: &mut Vec<OrderEffect>,
    ) {
        assert!(now < lease.until, "order without a valid lease");
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        assert!(
            target.info.domain == self.domain,
            "order to a target of another domain"
        );
        target.pending_order = Some((order.clone(), now));
        effects.push(OrderEffect::Send {
            target: name.clone(),
            address: target.info.address,
            request: OrderRequest {
                fencing: lease.fencing,
                issuer: self.issuer.clone(),
                order,
            },
        });
    }
}

/// Records how many targets of other domains lack the wanted version of a model; returns whether that
/// number has not changed for [`STALL_TIMEOUT`].
fn is_stalled(
    others: &mut BTreeMap<Name, OtherDomains>,
    now: Timestamp,
    model: &Name,
    lacking: usize,
) -> bool {
    let changed = OtherDomains {
        lacking,
        changed_at: now,
    };
    let known = others.entry(model.clone()).or_insert(changed);
    if known.lacking != lacking {
        *known = changed;
    }
    now.saturating_sub(known.changed_at) >= STALL_TIMEOUT
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

    /// Whether the target reports a load under way or has a pending order to load.
    fn is_loading(&self) -> bool {
        let reported = self.report.as_ref().is_some_and(|r| r.loading.is_some());
        reported || matches!(self.pending_order, Some((Order::Load { .. }, _)))
    }

    /// Requests running and queued; the maximum without a report.
    fn requests(&self) -> u32 {
        let report = self.report.as_ref();
        report.map_or(u32::MAX, |r| r.running.saturating_add(r.queued))
    }
}
