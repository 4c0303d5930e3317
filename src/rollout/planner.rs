//! Decides which target loads new weights when.

use std::collections::BTreeMap;

use crate::lease::Hold;
use crate::prelude::*;
use crate::rollout::{
    RolloutEffect, RolloutEvent, RolloutTarget, WeightsOrder, WeightsOrderResult,
};

/// Times and limits of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutSettings {
    /// One in this many targets loads at a time.
    pub loading_part: usize,
    /// Targets that load at a time at least.
    pub loading_least: usize,
    /// Orders under way beyond the targets that may load, as a part of those: some of them wait for
    /// their runs to end.
    pub waiting_part: usize,
    /// Targets of a hundred that rest for an order or have one at a time: the others
    /// carry the load, with caches that the new weights emptied.
    pub away_percent: usize,
    /// Longest rest of a target before its order.
    pub rest: Duration,
    /// Shortest rest, within which all entries hear of it.
    pub shortest_rest: Duration,
    /// Time after an order from which its target is asked how far it is.
    pub ask_after: Duration,
    /// Pause between two such questions.
    pub ask_pause: Duration,
    /// Time after which an order is given up and given anew.
    pub give_up: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            loading_part: 5,
            loading_least: 2,
            waiting_part: 3,
            away_percent: 27,
            rest: Duration::from_millis(350),
            shortest_rest: Duration::from_millis(250),
            ask_after: Duration::from_millis(1_250),
            ask_pause: Duration::from_millis(250),
            give_up: Duration::from_secs(6),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It runs as usual.
    Serving,
    /// It gets no new work and waits for its order.
    Resting {
        since: Timestamp,
        next_ask: Timestamp,
    },
    /// An order was given.
    Ordered { at: Timestamp, next_ask: Timestamp },
}

#[derive(Clone, Debug)]
struct Target {
    info: RolloutTarget,
    stage: Stage,
    requests: u32,
    /// Orders that it has accepted since its start, once it was asked.
    orders: Option<u64>,
}

/// Decides which target loads new weights when; one model's targets at a time.
#[derive(Debug)]
pub struct RolloutPlanner {
    cfg: RolloutSettings,
    named: BTreeMap<Name, u64>,
    targets: BTreeMap<Name, Target>,
    hold: Option<Hold>,
    progress: (usize, Timestamp),
}

impl RolloutPlanner {
    /// Makes a planner that knows no target.
    #[must_use]
    pub fn new(cfg: RolloutSettings) -> Self {
        Self {
            cfg,
            named: BTreeMap::new(),
            targets: BTreeMap::new(),
            hold: None,
            progress: (0, Timestamp::ZERO),
        }
    }

    /// Reacts to one event.
    pub fn on(&mut self, now: Timestamp, event: RolloutEvent, effects: &mut Vec<RolloutEffect>) {
        match event {
            RolloutEvent::Named { model, version } => {
                let known = self.named.entry(model).or_default();
                *known = version.max(*known);
            }
            RolloutEvent::Targets(list) => self.take_list(list),
            RolloutEvent::Load { target, requests } => {
                if let Some(target) = self.targets.get_mut(&target) {
                    target.requests = requests;
                }
            }
            RolloutEvent::Lease(hold) => self.hold = hold,
            RolloutEvent::Ended { target, result } => self.ended(now, &target, result, effects),
            RolloutEvent::Report {
                target,
                weights,
                orders,
                busy,
            } => self.take_report(now, &target, weights, orders, busy),
            RolloutEvent::Tick => {}
        }
        let missing = self.missing();
        if missing != self.progress.0 {
            self.progress = (missing, now);
        }
        match self.hold.filter(|hold| now < hold.until) {
            Some(hold) => self.step(now, hold, effects),
            None => self.stand_down(),
        }
    }

    /// Targets that lack the version named for one of their models.
    #[must_use]
    pub fn missing(&self) -> usize {
        let staying = self.targets.values().filter(|t| !t.info.leaving);
        staying.filter(|t| self.lacks(&t.info).is_some()).count()
    }

    /// How long the number of such targets has stayed the same.
    #[must_use]
    pub fn stalled(&self, now: Timestamp) -> Duration {
        now.saturating_sub(self.progress.1)
    }

    /// Targets that are to get no new work now.
    pub fn held(&self) -> impl Iterator<Item = &Name> {
        let held = self.targets.iter();
        held.filter(|(_, t)| t.stage != Stage::Serving)
            .map(|(name, _)| name)
    }

    fn take_list(&mut self, list: Vec<RolloutTarget>) {
        let mut old = std::mem::take(&mut self.targets);
        for info in list {
            let known = old.remove(&info.name);
            let name = info.name.clone();
            let mut target = known.unwrap_or_else(|| Target {
                info: info.clone(),
                stage: Stage::Serving,
                requests: 0,
                orders: None,
            });
            // A target's own word is newer than its entry.
            let told = std::mem::take(&mut target.info.weights);
            target.info = info;
            for ((_, version), (_, told)) in target.info.weights.iter_mut().zip(told) {
                *version = told.max(*version);
            }
            self.targets.insert(name, target);
        }
    }

    fn take_report(
        &mut self,
        now: Timestamp,
        name: &str,
        weights: SmallVec<[(Name, u64); 1]>,
        orders: u64,
        busy: bool,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.info.weights = weights;
        target.orders = Some(orders);
        if let Stage::Ordered { at, .. } = target.stage
            && !busy
            && now >= at + self.cfg.ask_after
        {
            // Either it has the version now, or the order never took effect and is given anew.
            target.stage = Stage::Resting {
                since: at,
                next_ask: now,
            };
        }
    }

    fn ended(
        &mut self,
        now: Timestamp,
        name: &str,
        result: WeightsOrderResult,
        effects: &mut Vec<RolloutEffect>,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        let Stage::Ordered { next_ask, .. } = &mut target.stage else {
            return;
        };
        match result {
            WeightsOrderResult::Accepted => {}
            WeightsOrderResult::Conflict | WeightsOrderResult::Unanswered => *next_ask = now,
            WeightsOrderResult::Stale => {
                target.stage = Stage::Serving;
                if let Some(hold) = self.hold.take() {
                    let fencing = hold.fencing;
                    effects.push(RolloutEffect::Raise { fencing });
                }
            }
        }
    }

    /// Without the lease nothing is held back.
    fn stand_down(&mut self) {
        for target in self.targets.values_mut() {
            target.stage = Stage::Serving;
        }
    }

    /// The model and version that a target lacks.
    fn lacks(&self, info: &RolloutTarget) -> Option<(Name, u64)> {
        let mut weights = info.weights.iter();
        weights.find_map(|(model, version)| {
            let named = *self.named.get(model)?;
            (*version < named).then(|| (model.clone(), named))
        })
    }

    fn step(&mut self, now: Timestamp, hold: Hold, effects: &mut Vec<RolloutEffect>) {
        self.release_finished(now);
        let limit = self.limit();
        let ordered = self.count(|s| matches!(s, Stage::Ordered { .. }));
        let most = limit + limit.div_ceil(self.cfg.waiting_part);
        let room = most.saturating_sub(ordered);
        self.order_rested(now, hold, room, effects);
        self.rest_next(now, self.most_away());
        self.ask(now, effects);
    }

    fn limit(&self) -> usize {
        (self.serving() / self.cfg.loading_part).max(self.cfg.loading_least)
    }

    /// Targets that have weights.
    fn serving(&self) -> usize {
        let targets = self.targets.values();
        targets.filter(|t| !t.info.weights.is_empty()).count()
    }

    /// Targets that rest or have an order at a time at most.
    fn most_away(&self) -> usize {
        let away = (self.serving() * self.cfg.away_percent).div_ceil(100);
        away.max(self.cfg.loading_least)
    }

    fn count(&self, stage: impl Fn(&Stage) -> bool) -> usize {
        self.targets.values().filter(|t| stage(&t.stage)).count()
    }

    fn release_finished(&mut self, now: Timestamp) {
        let done: Vec<Name> = self
            .targets
            .iter()
            .filter(|(_, t)| t.stage != Stage::Serving)
            .filter(|(_, t)| self.lacks(&t.info).is_none() || t.info.leaving)
            .map(|(name, _)| name.clone())
            .collect();
        for name in done {
            if let Some(target) = self.targets.get_mut(&name) {
                target.stage = Stage::Serving;
            }
        }
        for target in self.targets.values_mut() {
            if let Stage::Ordered { at, .. } = target.stage
                && now >= at + self.cfg.give_up
            {
                target.stage = Stage::Resting {
                    since: at,
                    next_ask: now,
                };
            }
        }
    }

    /// Gives orders to targets whose runs have ended or that have rested long enough.
    fn order_rested(
        &mut self,
        now: Timestamp,
        hold: Hold,
        room: usize,
        effects: &mut Vec<RolloutEffect>,
    ) {
        let mut rested: Vec<(Timestamp, Name)> = self
            .targets
            .iter()
            .filter_map(|(name, t)| match t.stage {
                Stage::Resting { since, .. } if self.is_rested(now, since, t) => {
                    Some((since, name.clone()))
                }
                _ => None,
            })
            .collect();
        rested.sort();
        for (_, name) in rested.into_iter().take(room) {
            self.order(now, hold, &name, effects);
        }
    }

    fn is_rested(&self, now: Timestamp, since: Timestamp, target: &Target) -> bool {
        let rested = now.saturating_sub(since);
        let done = target.requests == 0 && rested >= self.cfg.shortest_rest;
        target.orders.is_some() && (done || rested >= self.cfg.rest)
    }

    fn order(&mut self, now: Timestamp, hold: Hold, name: &str, effects: &mut Vec<RolloutEffect>) {
        assert!(now < hold.until, "an order without the lease");
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let (Some((model, version)), Some(orders)) = (self.lacks(&target.info), target.orders)
        else {
            return;
        };
        effects.push(RolloutEffect::Order(WeightsOrder {
            target: target.info.name.clone(),
            address: target.info.address,
            model,
            version,
            fencing: hold.fencing,
            expected_orders: orders,
        }));
        let next_ask = now + self.cfg.ask_after;
        if let Some(target) = self.targets.get_mut(name) {
            target.stage = Stage::Ordered { at: now, next_ask };
        }
    }

    /// Has the next targets rest, those with the oldest weights first and of these the ones with the
    /// fewest requests: what was named before the newest version runs into its bound sooner.
    fn rest_next(&mut self, now: Timestamp, most: usize) {
        let away = self.count(|s| *s != Stage::Serving);
        let mut next: Vec<(u64, u32, Name)> = self
            .targets
            .iter()
            .filter(|(_, t)| t.stage == Stage::Serving && !t.info.leaving)
            .filter(|(_, t)| self.lacks(&t.info).is_some())
            .map(|(name, t)| (oldest(&t.info), t.requests, name.clone()))
            .collect();
        next.sort();
        for (_, _, name) in next.into_iter().take(most.saturating_sub(away)) {
            if let Some(target) = self.targets.get_mut(&name) {
                target.stage = Stage::Resting {
                    since: now,
                    next_ask: now,
                };
                target.orders = None;
            }
        }
    }

    fn ask(&mut self, now: Timestamp, effects: &mut Vec<RolloutEffect>) {
        for target in self.targets.values_mut() {
            let next_ask = match &mut target.stage {
                Stage::Ordered { next_ask, .. } => next_ask,
                Stage::Resting { next_ask, .. } if target.orders.is_none() => next_ask,
                _ => continue,
            };
            if now >= *next_ask {
                *next_ask = now + self.cfg.ask_pause;
                effects.push(RolloutEffect::Ask {
                    target: target.info.name.clone(),
                    address: target.info.address,
                });
            }
        }
    }
}

/// The oldest version that a target has of any model.
fn oldest(info: &RolloutTarget) -> u64 {
    info.weights
        .iter()
        .map(|(_, v)| *v)
        .min()
        .unwrap_or_default()
}
