//! Status reports that lack something, or never come.

use std::collections::BTreeMap;

use guavahold::lease::HeldLease;
use guavahold::rollout::{
    RolloutEffect, RolloutEvent, RolloutPlanner, RolloutSettings, RolloutTarget,
};

use crate::ms;

/// Guards against a target that counts as up to date for a model that its report lacks, and against an
/// order that states a count that the target did not report.
#[test]
fn status_without_some_fields_takes_nothing_back() {
    let mut planner = RolloutPlanner::new(RolloutSettings::default());
    let listed = RolloutTarget {
        name: "t".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        leaving: false,
        weights: [("a".into(), 1), ("b".into(), 1)].into_iter().collect(),
    };
    let lease = HeldLease {
        fencing: 1,
        since: ms(0),
        until: ms(60_000),
    };
    let mut effects = Vec::new();
    for model in ["a", "b"] {
        let declared = RolloutEvent::VersionDeclared {
            model: model.into(),
            version: 2,
        };
        planner.on(ms(0), declared, &mut effects);
    }
    planner.on(ms(0), RolloutEvent::Targets(vec![listed]), &mut effects);
    planner.on(ms(0), RolloutEvent::Lease(Some(lease)), &mut effects);
    let mut report = |at, weights: &[(&str, u64)], orders| {
        let weights = weights.iter().map(|(model, v)| ((*model).into(), *v));
        let status = RolloutEvent::TargetStatus {
            target: "t".into(),
            weights: weights.collect(),
            orders,
            busy: true,
        };
        effects.clear();
        planner.on(ms(at), status, &mut effects);
        let is_order = |effect: &RolloutEffect| matches!(effect, RolloutEffect::Order(_));
        (planner.outdated_count(), effects.iter().any(is_order))
    };
    assert_eq!(report(1_000, &[], None), (1, false));
    assert_eq!(report(1_100, &[("a", 2)], None), (1, false));
    assert_eq!(report(1_200, &[("a", 2)], Some(4)), (1, true));
    assert_eq!(report(1_300, &[("b", 2)], Some(5)), (0, false));
}

/// Guards against targets that never report how many orders they accepted and keep the places of all others.
#[test]
fn targets_without_a_status_do_not_stop_the_rollout() {
    let mut planner = RolloutPlanner::new(RolloutSettings::default());
    let mut effects = Vec::new();
    let targets = ["a", "b", "c", "d"].map(|name| RolloutTarget {
        name: name.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        leaving: false,
        weights: std::iter::once(("m".into(), 1)).collect(),
    });
    let declared = RolloutEvent::VersionDeclared {
        model: "m".into(),
        version: 2,
    };
    let lease = HeldLease {
        fencing: 1,
        since: ms(0),
        until: ms(600_000),
    };
    planner.on(ms(0), declared, &mut effects);
    planner.on(ms(0), RolloutEvent::Targets(targets.into()), &mut effects);
    planner.on(ms(0), RolloutEvent::Lease(Some(lease)), &mut effects);
    let mut ordered = BTreeMap::new();
    for tick in 0..600 {
        let now = ms(tick * 100);
        let mut events = Vec::new();
        for effect in std::mem::take(&mut effects) {
            match effect {
                RolloutEffect::QueryStatus { target, .. } => {
                    let is_readable = ["c", "d"].contains(&&*target);
                    let version = ordered.get(&target).copied().unwrap_or(1);
                    events.push(RolloutEvent::TargetStatus {
                        weights: std::iter::once(("m".into(), version)).collect(),
                        orders: is_readable.then_some(version - 1),
                        busy: false,
                        target,
                    });
                }
                RolloutEffect::Order(order) => {
                    ordered.insert(order.target, order.version);
                }
                RolloutEffect::Raise { .. } => {}
            }
        }
        events.push(RolloutEvent::Tick);
        for event in events {
            planner.on(now, event, &mut effects);
        }
    }
    let ordered: Vec<&str> = ordered.keys().map(|name| &**name).collect();
    assert_eq!(ordered, ["c", "d"]);
    assert_eq!(planner.outdated_count(), 2);
}
