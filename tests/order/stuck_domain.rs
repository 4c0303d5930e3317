//! Orders of a domain beside one that loads nothing.

use guavahold::catalog::Trust;
use guavahold::order::{OrderEvent, OrderPlanner};
use guavahold::prelude::*;
use guavahold::scheduler::TargetInfo;
use guavahold::target::LoadReport;

use super::{UNCHECKED_WAIT, catalog_with_load_limit, lease};

/// Orders that the planner of domain b gives within two minutes, one load at a time, beside the domain
/// a, in which each model has a number of targets that never load anything.
fn orders_beside_stuck_domain(stuck: &[(&str, usize)]) -> usize {
    let mut catalog = (*catalog_with_load_limit("v2", 1)).clone();
    let salon = catalog.declarations.models["salon"].clone();
    let (mut targets, mut reports) = (Vec::new(), Vec::new());
    for (model, count) in stuck {
        let models = &mut catalog.declarations.models;
        models.insert((*model).into(), salon.clone());
        let mut add = |domain: &str, n: usize| {
            let name = Name::from(format!("{domain}-{model}-{n}"));
            let trust = Trust {
                checks_fencing: true,
            };
            catalog.declarations.trust.insert(name.clone(), trust);
            targets.push(TargetInfo {
                name: name.clone(),
                domain: domain.into(),
                address: "127.0.0.1:1".parse().unwrap(),
                serves: (*model).into(),
                leaving: false,
                started_ms: 0,
                software: Name::default(),
            });
            reports.push((name, LoadReport::default()));
        };
        (0..*count).for_each(|n| add("a", n));
        add("b", 0);
    }
    let mut planner = OrderPlanner::new("entry".into(), "b".into(), UNCHECKED_WAIT);
    let mut effects = Vec::new();
    let mut submit = |now, event| planner.on(now, event, &mut effects);
    submit(Timestamp::ZERO, OrderEvent::Catalog(Arc::new(catalog)));
    submit(Timestamp::ZERO, OrderEvent::Targets(targets));
    for (target, report) in reports {
        submit(Timestamp::ZERO, OrderEvent::Report { target, report });
    }
    let held = Some(lease(1, Timestamp::ZERO));
    submit(Timestamp::ZERO, OrderEvent::Lease(held));
    for second in 0..120 {
        submit(Duration::from_secs(second), OrderEvent::Tick);
    }
    effects.len()
}

/// Guards against a domain that loads nothing for good: the targets that other domains lack were counted
/// for all models together, so that with two models the count never stood still.
#[test]
fn planner_does_not_wait_for_stuck_domain_with_two_models() {
    let one = orders_beside_stuck_domain(&[("salon", 3)]);
    let two = orders_beside_stuck_domain(&[("salon", 3), ("style", 1)]);
    println!("{one} orders with one model, {two} with two");
    assert!(one > 0, "no order with one model");
    assert!(
        two >= 2 * one,
        "{one} orders with one model, {two} with two"
    );
}
