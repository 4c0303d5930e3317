//! Placement of requests.

use std::collections::BTreeMap;

use guavahold::catalog::PriorityClass;
use guavahold::prelude::*;
use guavahold::scheduler::{
    Arrival, Effect, Event, Placement, RequestId, Scheduler, SchedulerSettings, Signal,
};
use guavahold::target::LoadReport;

use crate::simulation::{Simulation, arrival, count, key, ms, policy, report, target};

/// Targets that an entry of `domain` selects for 40 prompts of `tokens` tokens.
fn placements(domain: &str, seed: u64, tokens: u32) -> Vec<Name> {
    let mut cfg = SchedulerSettings::new(domain.into());
    cfg.seed = seed;
    let mut scheduler = Scheduler::new(cfg);
    let names = (0..16).map(|n| (format!("engine-{n}"), format!("domain-{}", n % 4)));
    let list: Vec<_> = names.map(|(name, domain)| target(&name, &domain)).collect();
    let names: Vec<Name> = list.iter().map(|t| t.name.clone()).collect();
    let mut effects = Vec::new();
    scheduler.on(ms(0), Event::Targets(list), &mut effects);
    for target in names {
        let report = report(16);
        scheduler.on(ms(0), Event::Report { target, report }, &mut effects);
    }
    for id in 0..40 {
        let req = Arrival {
            prompt_tokens: tokens,
            ..arrival(id, "a", &policy(PriorityClass::Standard, 5_000))
        };
        scheduler.on(ms(10), Event::Arrive(req), &mut effects);
    }
    let dispatched = effects.into_iter().filter_map(|e| match e {
        Effect::Dispatch { target, .. } => Some(target),
        _ => None,
    });
    dispatched.collect()
}

#[test]
fn prefix_has_same_target_at_all_entries() {
    let one = placements("domain-0", 1, 5_000);
    assert_eq!(one.len(), 40);
    assert_eq!(one, placements("domain-1", 2, 5_000));
    let mut homes = one;
    homes.sort_unstable();
    homes.dedup();
    assert!(homes.len() >= 10, "prefixes spread: {homes:?}");
}

#[test]
fn short_prompt_stays_in_local_domain() {
    let local = ["engine-0", "engine-4", "engine-8", "engine-12"];
    for target in placements("domain-0", 1, 200) {
        assert!(local.contains(&&*target), "{target}");
    }
}

/// A scheduler that places by least work, with targets in four failure domains.
fn least_work(targets: usize, seed: u64) -> Scheduler {
    let cfg = SchedulerSettings {
        placement: Placement::LeastWork,
        seed,
        ..SchedulerSettings::new("domain-0".into())
    };
    let mut scheduler = Scheduler::new(cfg);
    let names = (0..targets).map(|n| (format!("engine-{n}"), format!("domain-{}", n % 4)));
    let list: Vec<_> = names.map(|(name, domain)| target(&name, &domain)).collect();
    let names: Vec<Name> = list.iter().map(|t| t.name.clone()).collect();
    scheduler.on(ms(0), Event::Targets(list), &mut Vec::new());
    for target in names {
        let report = report(64);
        scheduler.on(ms(0), Event::Report { target, report }, &mut Vec::new());
    }
    scheduler
}

fn place(scheduler: &mut Scheduler, at: u64, req: Arrival) -> Name {
    let mut effects = Vec::new();
    scheduler.on(ms(at), Event::Arrive(req), &mut effects);
    let placed = effects.into_iter().find_map(|e| match e {
        Effect::Dispatch { target, .. } => Some(target),
        _ => None,
    });
    placed.unwrap()
}

/// Reports work of other entries that is queued at a target.
fn report_work(scheduler: &mut Scheduler, at: u64, name: &str, work: u64) {
    let report = LoadReport {
        queued_tokens: work,
        ..report(64)
    };
    let target = name.into();
    scheduler.on(ms(at), Event::Report { target, report }, &mut Vec::new());
}

#[test]
fn stored_prompt_is_placed_in_domain_of_its_store() {
    let quick = policy(PriorityClass::Interactive, 2_000);
    let mut near = 0;
    for id in 0..50 {
        let mut scheduler = least_work(16, id);
        let req = Arrival {
            prompt_tokens: 12_000,
            shared_tokens: 9_000,
            stored_tokens: [9_000].into_iter().collect(),
            store_domain: Some("domain-2".into()),
            ..arrival(id, "a", &quick)
        };
        let home = place(&mut scheduler, 10, req.clone());
        scheduler.on(ms(10), Event::CallerLeft(req.id), &mut Vec::new());
        report_work(&mut scheduler, 20, &home, 50_000);
        let placed = place(&mut scheduler, 30, req);
        let n: usize = placed.trim_start_matches("engine-").parse().unwrap();
        near += usize::from(n % 4 == 2);
    }
    // By chance one in four is near; with four random candidates from any domain, two in three are.
    assert!(near > 42, "{near} of 50");
}

#[test]
fn running_generations_count_less_than_queued_prompt() {
    let mut scheduler = least_work(2, 1);
    let quick = policy(PriorityClass::Interactive, 2_000);
    let ask = |id, output_tokens| Arrival {
        prompt_tokens: 2_000,
        output_tokens,
        ..arrival(id, "a", &quick)
    };
    // Three long responses that are being generated at one target.
    report_work(&mut scheduler, 10, "engine-1", 500_000);
    for id in 0..3 {
        assert_eq!(&*place(&mut scheduler, 20, ask(id, 1_122)), "engine-0");
        let id = RequestId(id);
        scheduler.on(
            ms(25),
            Event::FirstToken { id, attempt: 1 },
            &mut Vec::new(),
        );
    }
    // A prompt that is queued at the other one.
    report_work(&mut scheduler, 30, "engine-1", 9_000);
    for id in 10..20 {
        assert_eq!(&*place(&mut scheduler, 40, ask(id, 0)), "engine-0");
        scheduler.on(ms(40), Event::CallerLeft(RequestId(id)), &mut Vec::new());
    }
}

/// Targets of the probe effects.
fn probed(effects: Vec<Effect>) -> Vec<Name> {
    let probed = effects.into_iter().filter_map(|e| match e {
        Effect::Probe { target, .. } => Some(target),
        _ => None,
    });
    probed.collect()
}

fn signal(scheduler: &mut Scheduler, at: u64, target: &str, signal: Signal) -> Vec<Name> {
    let target = target.into();
    let mut effects = Vec::new();
    scheduler.on(ms(at), Event::Signal { target, signal }, &mut effects);
    probed(effects)
}

#[test]
fn target_reported_unreachable_is_probed_before_new_work() {
    let mut scheduler = least_work(2, 1);
    let quick = policy(PriorityClass::Interactive, 2_000);
    let ask = |id| Arrival {
        prompt_tokens: 2_000,
        ..arrival(id, "a", &quick)
    };
    let probed = signal(&mut scheduler, 10, "engine-1", Signal::ReportedUnreachable);
    assert_eq!(probed, ["engine-1".into()]);
    for id in 0..8 {
        assert_eq!(&*place(&mut scheduler, 20, ask(id)), "engine-0");
    }
    assert!(scheduler.newly_unreachable().is_empty());
    // The probe succeeds: further reports within two seconds cause no new probe.
    signal(&mut scheduler, 30, "engine-1", Signal::Reachable);
    assert!(signal(&mut scheduler, 40, "engine-1", Signal::ReportedUnreachable).is_empty());
    assert_eq!(&*place(&mut scheduler, 50, ask(20)), "engine-1");
    // A later probe fails: the target counts as newly unreachable for a second.
    signal(
        &mut scheduler,
        3_000,
        "engine-1",
        Signal::ReportedUnreachable,
    );
    signal(&mut scheduler, 3_300, "engine-1", Signal::Unreachable);
    assert_eq!(scheduler.newly_unreachable(), ["engine-1".into()]);
    scheduler.on(ms(4_400), Event::Tick, &mut Vec::new());
    assert!(scheduler.newly_unreachable().is_empty());
}

#[test]
fn target_is_probed_after_unanswered_request() {
    let mut scheduler = least_work(2, 1);
    let quick = policy(PriorityClass::Interactive, 2_000);
    let req = Arrival {
        prompt_tokens: 2_000,
        ..arrival(1, "a", &quick)
    };
    let silent = place(&mut scheduler, 10, req);
    let mut effects = Vec::new();
    scheduler.on(ms(2_500), Event::CallerLeft(RequestId(1)), &mut effects);
    scheduler.on(ms(2_510), Event::Tick, &mut effects);
    assert_eq!(probed(effects), [silent]);
}

#[test]
fn hot_prefix_spills_in_rendezvous_order() {
    let mut simulation = Simulation::new(
        SchedulerSettings::new("domain-0".into()),
        Simulation::fleet(4, 2, 4),
    );
    let quick = policy(PriorityClass::Interactive, 2_000);
    // One prefix at half the capacity of all targets: more than its home target can run.
    simulation.add_poisson_arrivals(1, 40.0, (ms(0), ms(10_000)), |id| Arrival {
        affinity: key(9),
        prompt_tokens: 3_000,
        ..arrival(id, "a", &quick)
    });
    simulation.run_until(ms(15_000));
    let mut received: Vec<u32> = simulation.engines.values().map(|e| e.received).collect();
    received.sort_unstable_by(|a, b| b.cmp(a));
    println!("received {received:?}");
    assert_eq!(
        count(simulation.records.values().filter(|r| !r.is_in_time())),
        0
    );
    assert!(received[0] > received[7] * 3, "{received:?}");
    simulation.assert_idle();
}

#[test]
fn preferred_weights_are_used_first() {
    let mut scheduler = Scheduler::new(SchedulerSettings::new("domain-0".into()));
    let mut effects = Vec::new();
    let list = vec![target("old", "domain-0"), target("new", "domain-0")];
    scheduler.on(ms(0), Event::Targets(list), &mut effects);
    for (name, weights) in [("old", "v1"), ("new", "v2")] {
        let report = LoadReport {
            weights: vec![weights.into()],
            ..report(2)
        };
        let target = name.into();
        scheduler.on(ms(0), Event::Report { target, report }, &mut effects);
    }
    for id in 0..4 {
        let mut req = arrival(id, "a", &policy(PriorityClass::Standard, 5_000));
        req.weights = ["v2".into(), "v1".into()].into_iter().collect();
        scheduler.on(ms(1), Event::Arrive(req), &mut effects);
    }
    let ran = effects.iter().filter_map(|e| match e {
        Effect::Dispatch {
            weights, target, ..
        } => Some((&**weights, &**target)),
        _ => None,
    });
    let ran: Vec<_> = ran.collect();
    assert_eq!(
        ran,
        [("v2", "new"), ("v2", "new"), ("v1", "old"), ("v1", "old")]
    );
}

#[test]
fn late_first_tokens_are_hedged_within_the_budget() {
    let mut fleet = Simulation::fleet(4, 2, 4);
    fleet[3].slowness = 2.9;
    let mut simulation = Simulation::new(SchedulerSettings::new("domain-3".into()), fleet);
    let quick = policy(PriorityClass::Interactive, 2_000);
    simulation.add_poisson_arrivals(1, 60.0, (ms(0), ms(20_000)), |id| Arrival {
        prompt_tokens: 3_000,
        ..arrival(id, "a", &quick)
    });
    simulation.run_until(ms(25_000));
    let requests = count(simulation.records.values());
    let attempts: u32 = simulation.records.values().map(|r| r.attempts).sum();
    println!(
        "requests {requests}, hedges {}, attempts {attempts}",
        simulation.hedges
    );
    assert!(simulation.hedges > 0);
    assert!(attempts * 10 <= requests * 11);
    assert_eq!(
        simulation.cancelled, simulation.hedges,
        "each race has one loser"
    );
    simulation.assert_idle();
}

#[test]
fn entries_share_a_contended_target() {
    let mut scheduler = Scheduler::new(SchedulerSettings::new("domain-0".into()));
    let mut effects = Vec::new();
    scheduler.on(
        ms(0),
        Event::Targets(vec![target("engine", "domain-0")]),
        &mut effects,
    );
    scheduler.on(ms(0), Event::EntryCount(2), &mut effects);
    // Another entry uses all slots of the target and has more requests queued there.
    let report = LoadReport {
        running: 8,
        queued: 3,
        ..report(8)
    };
    let target = "engine".into();
    scheduler.on(ms(0), Event::Report { target, report }, &mut effects);
    for id in 0..10 {
        let req = arrival(id, "a", &policy(PriorityClass::Patient, 60_000));
        scheduler.on(ms(1), Event::Arrive(req), &mut effects);
    }
    let mut sent = BTreeMap::new();
    for effect in effects {
        if let Effect::Dispatch { target, .. } = effect {
            *sent.entry(target).or_insert(0) += 1;
        }
    }
    assert_eq!(sent.get("engine"), Some(&4), "half of eight slots");
}
