//! Requests that take down the targets that run them.

use guavahold::catalog::PriorityClass;
use guavahold::decide::{
    AttemptOutcome, Desk, DeskSettings, Effect, Event, Refusal, RequestId, Signal,
};
use guavahold::prelude::*;

use crate::world::{World, arrival, key, ms, policy, report, target};

fn world(seed: u64) -> World {
    let mut cfg = DeskSettings::new("domain-0".into());
    cfg.seed = seed;
    let mut world = World::new(cfg, World::fleet(4, 3, 4));
    let quick = policy(PriorityClass::Interactive, 2_000);
    world.stream(seed, 60.0, (ms(0), ms(20_000)), |id| {
        arrival(id, "a", &quick)
    });
    world
}

#[test]
fn crashing_request_takes_down_two_targets() {
    for seed in 0..20 {
        let mut world = world(seed);
        let killer = key(1);
        world.killers.push(killer);
        let quick = policy(PriorityClass::Interactive, 2_000);
        for n in 0..40 {
            let mut req = arrival(0, "b", &quick);
            req.fingerprint = killer;
            req.affinity = key(2);
            // Several at the same time, more than one target has slots for.
            for _ in 0..10 {
                world.arrive_at(ms(1_000 + 150 * n), req.clone());
            }
        }
        world.run_until(ms(40_000));
        println!("seed {seed}: killed {:?}", world.killed);
        assert!(world.killed.len() <= 2, "seed {seed}: {:?}", world.killed);
        assert!(!world.killed.is_empty());
        let others = world
            .records
            .values()
            .filter(|r| &*r.arrival.customer == "a");
        let refused = others.filter(|r| matches!(r.refusal(), Some(Refusal::Quarantined { .. })));
        assert_eq!(
            refused.count(),
            0,
            "seed {seed}: a bystander was quarantined"
        );
    }
}

#[test]
fn killed_targets_accuse_nobody() {
    for seed in 0..20 {
        let mut world = world(seed);
        world.run_until(ms(2_000));
        world.cut("domain-1", true);
        world.run_until(ms(4_000));
        world.kill("engine-2-0");
        world.run_until(ms(40_000));
        let refused = world.records.values();
        let refused = refused.filter(|r| matches!(r.refusal(), Some(Refusal::Quarantined { .. })));
        assert_eq!(refused.count(), 0, "seed {seed}");
    }
}

/// An entry with four targets of one slot.
fn entry(seed: u64) -> Desk {
    let mut cfg = DeskSettings::new("domain-0".into());
    cfg.seed = seed;
    let mut desk = Desk::new(cfg);
    let names = ["engine-0", "engine-1", "engine-2", "engine-3"];
    let list = names.iter().map(|n| target(n, "domain-0")).collect();
    desk.on(ms(0), Event::Targets(list), &mut Vec::new());
    for name in names {
        let event = Event::Report {
            target: name.into(),
            report: report(1),
        };
        desk.on(ms(0), event, &mut Vec::new());
    }
    desk
}

/// Hands an event over and tells where a request is sent.
fn sent_to(desk: &mut Desk, now: Stamp, event: Event, request: u64) -> Option<Name> {
    let mut effects = Vec::new();
    desk.on(now, event, &mut effects);
    effects.into_iter().find_map(|e| match e {
        Effect::Dispatch { id, target, .. } if id.0 == request => Some(target),
        _ => None,
    })
}

fn arrive(desk: &mut Desk, now: Stamp, id: u64) -> Option<Name> {
    let patient = policy(PriorityClass::Patient, 60_000);
    let mut req = arrival(id, "a", &patient);
    req.tokens = 5_000;
    sent_to(desk, now, Event::Arrive(req), id)
}

/// Kills the target that runs request 1.
fn kill_first(desk: &mut Desk, target: &Name) {
    let lost = Event::Ended {
        id: RequestId(1),
        attempt: 1,
        outcome: AttemptOutcome::Lost,
    };
    let dead = Event::Signal {
        target: target.clone(),
        signal: Signal::Unreachable,
    };
    assert_eq!(sent_to(desk, ms(100), lost, 1), None);
    assert_eq!(sent_to(desk, ms(101), dead, 1), None);
}

fn tick_until_sent(desk: &mut Desk, from: u64, to: u64) -> Option<Name> {
    (from..to).find_map(|at| sent_to(desk, ms(at), Event::Tick, 1))
}

#[test]
fn suspected_request_has_one_place_at_all_entries() {
    let mut one = entry(1);
    let first = arrive(&mut one, ms(10), 1).unwrap();
    kill_first(&mut one, &first);
    let second = tick_until_sent(&mut one, 102, 1_000).unwrap();
    // At another entry that place is taken, so the request waits for it.
    let mut other = entry(2);
    assert_eq!(arrive(&mut other, ms(10), 1), Some(first.clone()));
    let busy: Vec<(u64, Name)> = (2..5)
        .map(|id| (id, arrive(&mut other, ms(11), id).unwrap()))
        .collect();
    for (id, target) in &busy {
        if *target != second {
            other.on(ms(12), Event::Left(RequestId(*id)), &mut Vec::new());
        }
    }
    kill_first(&mut other, &first);
    assert_eq!(tick_until_sent(&mut other, 102, 1_000), None);
    let (id, _) = busy.iter().find(|(_, target)| *target == second).unwrap();
    other.on(ms(1_000), Event::Left(RequestId(*id)), &mut Vec::new());
    assert_eq!(tick_until_sent(&mut other, 1_000, 2_000), Some(second));
}
