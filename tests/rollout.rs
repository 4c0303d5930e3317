//! Rollout of new weights: the planner against simulated targets, in virtual time.

#[path = "rollout/statuses.rs"]
mod statuses;

use std::collections::BTreeMap;
use std::time::Duration;

use guavahold::lease::HeldLease;
use guavahold::prelude::Name;
use guavahold::rollout::{
    RolloutEffect, RolloutEvent, RolloutPlanner, RolloutSettings, RolloutTarget, WeightsOrder,
    WeightsOrderResult,
};
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A simulated target, which takes 1.3 s to load a version; times in milliseconds.
#[derive(Clone, Debug)]
struct SimTarget {
    version: u64,
    accepted_orders: u64,
    fencing: u64,
    /// Version being loaded, and when it is ready.
    loading: Option<(u64, u64)>,
    /// Delayed orders, with their time of arrival.
    delayed: Vec<(u64, WeightsOrder)>,
}

/// Targets of one model and the planner that gives them orders; `now` in milliseconds.
struct Simulation {
    now: u64,
    planner: RolloutPlanner,
    targets: BTreeMap<Name, SimTarget>,
    /// Fencing token of the planner's lease.
    fencing: u64,
    max_loading: usize,
    orders: Vec<WeightsOrder>,
    /// Version that the target of each order had.
    ordered_from: Vec<u64>,
}

/// How an order is delivered.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Immediate,
    /// After this many milliseconds; the sender gets no answer.
    Delayed(u64),
    Lost,
}

impl Simulation {
    fn new(count: usize) -> Self {
        let target = SimTarget {
            version: 1,
            accepted_orders: 3,
            fencing: 0,
            loading: None,
            delayed: Vec::new(),
        };
        let targets = (0..count).map(|n| (format!("t{n:02}").into(), target.clone()));
        let mut sim = Self {
            now: 0,
            planner: RolloutPlanner::new(RolloutSettings::default()),
            targets: targets.collect(),
            fencing: 1,
            max_loading: 0,
            orders: Vec::new(),
            ordered_from: Vec::new(),
        };
        sim.send_targets();
        sim
    }

    fn on(&mut self, event: RolloutEvent) -> Vec<RolloutEffect> {
        let mut effects = Vec::new();
        self.planner.on(ms(self.now), event, &mut effects);
        effects
    }

    fn send_targets(&mut self) {
        let targets = self.targets.iter().map(|(name, t)| RolloutTarget {
            name: name.clone(),
            address: "10.0.0.1:80".parse().unwrap(),
            leaving: false,
            weights: std::iter::once(("m".into(), t.version)).collect(),
        });
        let targets = targets.collect();
        self.on(RolloutEvent::Targets(targets));
    }

    fn declare_version(&mut self, version: u64) {
        self.on(RolloutEvent::VersionDeclared {
            model: "m".into(),
            version,
        });
    }

    fn renew_lease(&mut self) -> Vec<RolloutEffect> {
        let lease = HeldLease {
            fencing: self.fencing,
            since: ms(0),
            until: ms(self.now + 1_000),
        };
        self.on(RolloutEvent::Lease(Some(lease)))
    }

    /// Advances time by 50 ms; `delivery` is called for each order.
    fn step(&mut self, delivery: &mut impl FnMut() -> Delivery) {
        self.now += 50;
        let now = self.now;
        for target in self.targets.values_mut() {
            let due: Vec<_> = target
                .delayed
                .extract_if(.., |(at, _)| *at <= now)
                .collect();
            for (_, order) in due {
                target.receive(now, &order);
            }
            if let Some((version, _)) = target.loading.filter(|(_, at)| *at <= now) {
                target.version = version;
                target.loading = None;
            }
        }
        let effects = self.renew_lease();
        self.execute(effects, delivery);
        let loading = self.targets.values().filter(|t| t.loading.is_some());
        self.max_loading = self.max_loading.max(loading.count());
    }

    fn execute(&mut self, effects: Vec<RolloutEffect>, delivery: &mut impl FnMut() -> Delivery) {
        for effect in effects {
            let event = match effect {
                RolloutEffect::Order(order) => {
                    let target = order.target.clone();
                    let result = self.send(order, delivery());
                    RolloutEvent::Ended { target, result }
                }
                RolloutEffect::QueryStatus { target, .. } => {
                    let state = &self.targets[&target];
                    RolloutEvent::TargetStatus {
                        weights: std::iter::once(("m".into(), state.version)).collect(),
                        orders: Some(state.accepted_orders),
                        busy: state.loading.is_some(),
                        target,
                    }
                }
                RolloutEffect::Raise { fencing } => {
                    self.fencing = self.fencing.max(fencing + 1);
                    continue;
                }
            };
            let more = self.on(event);
            self.execute(more, delivery);
        }
    }

    fn send(&mut self, order: WeightsOrder, delivery: Delivery) -> WeightsOrderResult {
        self.orders.push(order.clone());
        let now = self.now;
        let target = self.targets.get_mut(&order.target).unwrap();
        self.ordered_from.push(target.version);
        match delivery {
            Delivery::Immediate => target.receive(now, &order),
            Delivery::Lost => WeightsOrderResult::Unanswered,
            Delivery::Delayed(delay) => {
                target.delayed.push((now + delay, order));
                WeightsOrderResult::Unanswered
            }
        }
    }

    fn versions(&self) -> Vec<u64> {
        self.targets.values().map(|t| t.version).collect()
    }
}

impl SimTarget {
    fn receive(&mut self, now: u64, order: &WeightsOrder) -> WeightsOrderResult {
        if order.fencing < self.fencing {
            return WeightsOrderResult::Stale;
        }
        if self.loading.is_some() || order.expected_orders != self.accepted_orders {
            return WeightsOrderResult::Conflict;
        }
        assert!(
            order.version > self.version,
            "accepted an order to load older weights"
        );
        self.fencing = order.fencing;
        self.accepted_orders += 1;
        self.loading = Some((order.version, now + 1_300));
        WeightsOrderResult::Accepted
    }
}

/// Too many targets that drain or load at once would leave too few to carry the load. Each target
/// must get exactly one order, and none may stay cordoned.
#[test]
fn rollout_updates_all_targets_within_limits() {
    let mut sim = Simulation::new(18);
    sim.declare_version(2);
    while sim.versions().iter().any(|v| *v < 2) {
        assert!(sim.now < 15_000, "rollout incomplete: {:?}", sim.versions());
        sim.step(&mut || Delivery::Immediate);
        // 27% of 18 targets, rounded up.
        assert!(sim.planner.cordoned_targets().count() <= 5);
    }
    assert!(sim.max_loading <= 4);
    assert_eq!(sim.orders.len(), 18);
    // The last targets are uncordoned once a status query has shown that they are up to date.
    for _ in 0..10 {
        sim.step(&mut || Delivery::Immediate);
    }
    assert_eq!(sim.planner.cordoned_targets().count(), 0);
}

/// A version that is older than one already declared would cost a target two loads.
#[test]
fn rollout_skips_versions_that_are_not_the_newest() {
    let mut sim = Simulation::new(9);
    sim.declare_version(2);
    for _ in 0..30 {
        sim.step(&mut || Delivery::Immediate);
    }
    sim.declare_version(4);
    sim.declare_version(3);
    while sim.versions().iter().any(|v| *v < 4) {
        assert!(sim.now < 20_000);
        sim.step(&mut || Delivery::Immediate);
    }
    assert!(sim.orders.iter().all(|o| o.version != 3));
}

/// When a version is declared during a rollout, targets that still have the oldest weights must not
/// wait behind those that have just been updated: the time for which old weights may run is
/// limited.
#[test]
fn rollout_updates_oldest_weights_first() {
    let mut sim = Simulation::new(18);
    sim.declare_version(2);
    while sim.versions().iter().filter(|v| **v == 2).count() < 6 {
        sim.step(&mut || Delivery::Immediate);
    }
    sim.declare_version(3);
    while sim.versions().iter().any(|v| *v < 3) {
        assert!(sim.now < 25_000, "rollout incomplete: {:?}", sim.versions());
        sim.step(&mut || Delivery::Immediate);
    }
    let orders = sim.orders.iter().zip(&sim.ordered_from);
    let newest = orders.filter(|(order, _)| order.version == 3);
    let from: Vec<u64> = newest.map(|(_, from)| *from).collect();
    assert!(from.contains(&2) && from.is_sorted(), "{from:?}");
}

/// Versions are named faster than all targets load one. Guards against targets that keep their places
/// for the next version when they have loaded one, so that others never get any.
fn name_versions_faster_than_they_load(targets: usize, pause_ms: u64, count: u64) {
    /// Time from the declaration of a version after which no target may have an older one.
    const BOUND_MS: u64 = 17_000;
    let mut sim = Simulation::new(targets);
    let end = count * pause_ms + BOUND_MS;
    while sim.now < end {
        if sim.now.is_multiple_of(pause_ms) && sim.now < count * pause_ms {
            sim.declare_version(2 + sim.now / pause_ms);
        }
        sim.step(&mut || Delivery::Immediate);
        // Versions declared before the bound; that of time zero is 2.
        let overdue = sim.now.checked_sub(BOUND_MS).map(|at| at / pause_ms);
        let required = overdue.map_or(1, |n| 2 + n.min(count - 1));
        let oldest = sim.versions().into_iter().min().unwrap();
        assert!(
            oldest >= required,
            "{targets} targets, {} ms: {oldest} instead of {required}",
            sim.now
        );
    }
}

#[test]
fn rollout_reaches_all_targets_while_versions_follow_one_another() {
    name_versions_faster_than_they_load(39, 4_000, 10);
    name_versions_faster_than_they_load(18, 2_000, 16);
    name_versions_faster_than_they_load(140, 4_000, 10);
}

/// Another entry may hold the lease, so orders without it could conflict with that entry's.
#[test]
fn rollout_without_valid_lease_gives_no_orders() {
    let mut sim = Simulation::new(6);
    sim.declare_version(2);
    assert!(sim.on(RolloutEvent::Tick).is_empty());
    let expired = HeldLease {
        fencing: 1,
        since: ms(0),
        until: ms(0),
    };
    assert!(sim.on(RolloutEvent::Lease(Some(expired))).is_empty());
    assert_eq!(sim.planner.cordoned_targets().count(), 0);
}

/// Targets that have seen a greater fencing token refuse every order, so the planner must ask for a
/// greater one, or the rollout never ends.
#[test]
fn rollout_continues_after_stale_fencing_token() {
    let mut sim = Simulation::new(4);
    for target in sim.targets.values_mut() {
        target.fencing = 5;
    }
    sim.declare_version(2);
    while sim.versions().iter().any(|v| *v < 2) {
        assert!(sim.now < 20_000);
        sim.step(&mut || Delivery::Immediate);
    }
    assert!(sim.fencing > 5 || sim.orders.last().unwrap().fencing >= 5);
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => Just(Delivery::Immediate),
        1 => (1_000_u64..9_000).prop_map(Delivery::Delayed),
        1 => Just(Delivery::Lost),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    /// Lost and delayed orders must neither stop the rollout nor bring back older weights, also
    /// when a further version is declared at any time.
    #[test]
    fn rollout_completes_despite_lost_and_delayed_orders(
        deliveries in prop::collection::vec(delivery(), 40),
        declaration_time in 0_u64..6_000,
    ) {
        let mut sim = Simulation::new(9);
        sim.declare_version(2);
        let mut deliveries = deliveries.into_iter();
        let mut next = || deliveries.next().unwrap_or(Delivery::Immediate);
        let mut declared = false;
        while !declared || sim.versions().iter().any(|v| *v < 3) {
            prop_assert!(sim.now < 60_000, "rollout incomplete: {:?}", sim.versions());
            if sim.now >= declaration_time && !declared {
                sim.declare_version(3);
                declared = true;
            }
            sim.step(&mut next);
        }
        prop_assert!(sim.max_loading <= 9);
    }
}

/// Targets may report their models in another order than the platform lists them.
#[test]
fn targets_listed_again_keep_reported_version_of_each_model() {
    let mut planner = RolloutPlanner::new(RolloutSettings::default());
    let weights = |pairs: [(&str, u64); 2]| {
        let pairs = pairs.into_iter();
        pairs.map(|(model, v)| (model.into(), v)).collect()
    };
    let listed = RolloutTarget {
        name: "t".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        leaving: false,
        weights: weights([("a", 1), ("b", 5)]),
    };
    let mut on = |event| planner.on(ms(0), event, &mut Vec::new());
    on(RolloutEvent::VersionDeclared {
        model: "a".into(),
        version: 2,
    });
    on(RolloutEvent::Targets(vec![listed.clone()]));
    on(RolloutEvent::TargetStatus {
        target: "t".into(),
        weights: weights([("b", 5), ("a", 1)]),
        orders: Some(0),
        busy: false,
    });
    on(RolloutEvent::Targets(vec![listed]));
    assert_eq!(planner.outdated_count(), 1);
}
