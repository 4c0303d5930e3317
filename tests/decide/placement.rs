//! Where requests are placed.

use std::collections::BTreeMap;

use guavahold::catalog::PriorityClass;
use guavahold::decide::{Arrival, Desk, DeskSettings, Effect, Event, Placement, RequestId, Signal};
use guavahold::prelude::*;
use guavahold::target::LoadReport;

use crate::world::{World, arrival, count, key, ms, policy, report, target};

/// Targets chosen by an entry of `domain` for prompts with and without whole blocks.
fn placements(domain: &str, seed: u64, tokens: u32) -> Vec<Name> {
    let mut cfg = DeskSettings::new(domain.into());
    cfg.seed = seed;
    let mut desk = Desk::new(cfg);
    let names = (0..16).map(|n| (format!("engine-{n}"), format!("domain-{}", n % 4)));
    let list: Vec<_> = names.map(|(name, domain)| target(&name, &domain)).collect();
    let names: Vec<Name> = list.iter().map(|t| t.name.clone()).collect();
    let mut effects = Vec::new();
    desk.on(ms(0), Event::Targets(list), &mut effects);
    for target in names {
        let report = report(16);
        desk.on(ms(0), Event::Report { target, report }, &mut effects);
    }
    for id in 0..40 {
        let req = Arrival {
            tokens,
            ..arrival(id, "a", &policy(PriorityClass::Standard, 5_000))
        };
        desk.on(ms(10), Event::Arrive(req), &mut effects);
    }
    let dispatched = effects.into_iter().filter_map(|e| match e {
        Effect::Dispatch { target, .. } => Some(target),
        _ => None,
    });
    dispatched.collect()
}

#[test]
fn prefix_has_one_home_at_all_entries() {
    let one = placements("domain-0", 1, 5_000);
    assert_eq!(one.len(), 40);
    assert_eq!(one, placements("domain-1", 2, 5_000));
    let mut homes = one;
    homes.sort_unstable();
    homes.dedup();
    assert!(homes.len() >= 10, "prefixes spread: {homes:?}");
}

#[test]
fn short_prompt_stays_in_its_domain() {
    let local = ["engine-0", "engine-4", "engine-8", "engine-12"];
    for target in placements("domain-0", 1, 200) {
        assert!(local.contains(&&*target), "{target}");
    }
}

/// A desk that places by least work, before targets spread over four failure domains.
fn least_work(targets: usize, seed: u64) -> Desk {
    let cfg = DeskSettings {
        placement: Placement::LeastWork,
        seed,
        ..DeskSettings::new("domain-0".into())
    };
    let mut desk = Desk::new(cfg);
    let names = (0..targets).map(|n| (format!("engine-{n}"), format!("domain-{}", n % 4)));
    let list: Vec<_> = names.map(|(name, domain)| target(&name, &domain)).collect();
    let names: Vec<Name> = list.iter().map(|t| t.name.clone()).collect();
    desk.on(ms(0), Event::Targets(list), &mut Vec::new());
    for target in names {
        let report = report(64);
        desk.on(ms(0), Event::Report { target, report }, &mut Vec::new());
    }
    desk
}

fn place(desk: &mut Desk, at: u64, req: Arrival) -> Name {
    let mut effects = Vec::new();
    desk.on(ms(at), Event::Arrive(req), &mut effects);
    let placed = effects.into_iter().find_map(|e| match e {
        Effect::Dispatch { target, .. } => Some(target),
        _ => None,
    });
    placed.unwrap()
}

/// Reports work of other entries that waits at a target.
fn report_work(desk: &mut Desk, at: u64, name: &str, work: u64) {
    let report = LoadReport {
        queued_tokens: work,
        ..report(64)
    };
    let target = name.into();
    desk.on(ms(at), Event::Report { target, report }, &mut Vec::new());
}

#[test]
fn kept_prompt_is_fetched_within_the_failure_domain_of_its_store() {
    let quick = policy(PriorityClass::Interactive, 2_000);
    let mut near = 0;
    for id in 0..50 {
        let mut desk = least_work(16, id);
        let req = Arrival {
            tokens: 12_000,
            shared_tokens: 9_000,
            kept_tokens: [9_000].into_iter().collect(),
            kept_domain: Some("domain-2".into()),
            ..arrival(id, "a", &quick)
        };
        let home = place(&mut desk, 10, req.clone());
        desk.on(ms(10), Event::Left(req.id), &mut Vec::new());
        report_work(&mut desk, 20, &home, 50_000);
        let placed = place(&mut desk, 30, req);
        let n: usize = placed.trim_start_matches("engine-").parse().unwrap();
        near += usize::from(n % 4 == 2);
    }
    // One in four by chance; two in three if only the random candidates were looked at.
    assert!(near > 42, "{near} of 50");
}

#[test]
fn generations_hide_no_prompt_that_waits() {
    let mut desk = least_work(2, 1);
    let quick = policy(PriorityClass::Interactive, 2_000);
    let ask = |id, output_tokens| Arrival {
        tokens: 2_000,
        output_tokens,
        ..arrival(id, "a", &quick)
    };
    // Three long answers that have begun at one target.
    report_work(&mut desk, 10, "engine-1", 500_000);
    for id in 0..3 {
        assert_eq!(&*place(&mut desk, 20, ask(id, 1_122)), "engine-0");
        let id = RequestId(id);
        desk.on(
            ms(25),
            Event::FirstToken { id, attempt: 1 },
            &mut Vec::new(),
        );
    }
    // A prompt that waits to be read at the other one.
    report_work(&mut desk, 30, "engine-1", 9_000);
    for id in 10..20 {
        assert_eq!(&*place(&mut desk, 40, ask(id, 0)), "engine-0");
        desk.on(ms(40), Event::Left(RequestId(id)), &mut Vec::new());
    }
}

/// Targets that the desk wants to be probed.
fn probed(effects: Vec<Effect>) -> Vec<Name> {
    let probed = effects.into_iter().filter_map(|e| match e {
        Effect::Probe { target, .. } => Some(target),
        _ => None,
    });
    probed.collect()
}

fn signal(desk: &mut Desk, at: u64, target: &str, signal: Signal) -> Vec<Name> {
    let target = target.into();
    let mut effects = Vec::new();
    desk.on(ms(at), Event::Signal { target, signal }, &mut effects);
    probed(effects)
}

#[test]
fn target_that_a_peer_lost_is_probed_before_it_gets_more() {
    let mut desk = least_work(2, 1);
    let quick = policy(PriorityClass::Interactive, 2_000);
    let ask = |id| Arrival {
        tokens: 2_000,
        ..arrival(id, "a", &quick)
    };
    let told = signal(&mut desk, 10, "engine-1", Signal::Doubted);
    assert_eq!(told, ["engine-1".into()]);
    for id in 0..8 {
        assert_eq!(&*place(&mut desk, 20, ask(id)), "engine-0");
    }
    assert!(desk.lost_targets().is_empty());
    // The probe finds it well: words that come again soon do not take it out again.
    signal(&mut desk, 30, "engine-1", Signal::Reachable);
    assert!(signal(&mut desk, 40, "engine-1", Signal::Doubted).is_empty());
    assert_eq!(&*place(&mut desk, 50, ask(20)), "engine-1");
    // Later the probe finds it lost, and peers are told for a while.
    signal(&mut desk, 3_000, "engine-1", Signal::Doubted);
    signal(&mut desk, 3_300, "engine-1", Signal::Unreachable);
    assert_eq!(desk.lost_targets(), ["engine-1".into()]);
    desk.on(ms(4_400), Event::Tick, &mut Vec::new());
    assert!(desk.lost_targets().is_empty());
}

#[test]
fn target_that_left_a_request_without_an_answer_is_probed() {
    let mut desk = least_work(2, 1);
    let quick = policy(PriorityClass::Interactive, 2_000);
    let req = Arrival {
        tokens: 2_000,
        ..arrival(1, "a", &quick)
    };
    let silent = place(&mut desk, 10, req);
    let mut effects = Vec::new();
    desk.on(ms(2_500), Event::Left(RequestId(1)), &mut effects);
    desk.on(ms(2_510), Event::Tick, &mut effects);
    assert_eq!(probed(effects), [silent]);
}

#[test]
fn hot_prefix_spills_within_its_order() {
    let mut world = World::new(DeskSettings::new("domain-0".into()), World::fleet(4, 2, 4));
    let quick = policy(PriorityClass::Interactive, 2_000);
    // One prefix at half the capacity of all targets: more than its home can run.
    world.stream(1, 40.0, (ms(0), ms(10_000)), |id| Arrival {
        affinity: key(9),
        tokens: 3_000,
        ..arrival(id, "a", &quick)
    });
    world.run_until(ms(15_000));
    let mut received: Vec<u32> = world.engines.values().map(|e| e.received).collect();
    received.sort_unstable_by(|a, b| b.cmp(a));
    println!("received {received:?}");
    assert_eq!(count(world.records.values().filter(|r| !r.is_good())), 0);
    assert!(received[0] > received[7] * 3, "{received:?}");
    world.assert_at_rest();
}

#[test]
fn preferred_weights_come_first() {
    let mut desk = Desk::new(DeskSettings::new("domain-0".into()));
    let mut effects = Vec::new();
    let list = vec![target("old", "domain-0"), target("new", "domain-0")];
    desk.on(ms(0), Event::Targets(list), &mut effects);
    for (name, weights) in [("old", "v1"), ("new", "v2")] {
        let report = LoadReport {
            weights: vec![weights.into()],
            ..report(2)
        };
        let target = name.into();
        desk.on(ms(0), Event::Report { target, report }, &mut effects);
    }
    for id in 0..4 {
        let mut req = arrival(id, "a", &policy(PriorityClass::Standard, 5_000));
        req.weights = ["v2".into(), "v1".into()].into_iter().collect();
        desk.on(ms(1), Event::Arrive(req), &mut effects);
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
    let mut fleet = World::fleet(4, 2, 4);
    fleet[3].slowness = 2.9;
    let mut world = World::new(DeskSettings::new("domain-3".into()), fleet);
    let quick = policy(PriorityClass::Interactive, 2_000);
    world.stream(1, 60.0, (ms(0), ms(20_000)), |id| Arrival {
        tokens: 3_000,
        ..arrival(id, "a", &quick)
    });
    world.run_until(ms(25_000));
    let requests = count(world.records.values());
    let attempts: u32 = world.records.values().map(|r| r.attempts).sum();
    println!(
        "requests {requests}, hedges {}, attempts {attempts}",
        world.hedges
    );
    assert!(world.hedges > 0);
    assert!(attempts * 10 <= requests * 11);
    assert_eq!(world.cancelled, world.hedges, "each race has one loser");
    world.assert_at_rest();
}

#[test]
fn entries_share_a_contended_target() {
    let mut desk = Desk::new(DeskSettings::new("domain-0".into()));
    let mut effects = Vec::new();
    desk.on(
        ms(0),
        Event::Targets(vec![target("engine", "domain-0")]),
        &mut effects,
    );
    desk.on(ms(0), Event::Entries(2), &mut effects);
    // Another entry has filled the target and more waits there.
    let report = LoadReport {
        running: 8,
        queued: 3,
        ..report(8)
    };
    let target = "engine".into();
    desk.on(ms(0), Event::Report { target, report }, &mut effects);
    for id in 0..10 {
        let req = arrival(id, "a", &policy(PriorityClass::Patient, 60_000));
        desk.on(ms(1), Event::Arrive(req), &mut effects);
    }
    let mut sent = BTreeMap::new();
    for effect in effects {
        if let Effect::Dispatch { target, .. } = effect {
            *sent.entry(target).or_insert(0) += 1;
        }
    }
    assert_eq!(sent.get("engine"), Some(&4), "half of eight slots");
}
