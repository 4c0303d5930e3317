//! Quarantine of requests that crash the targets that run them.

use guavahold::catalog::PriorityClass;
use guavahold::prelude::*;
use guavahold::scheduler::{
    AttemptOutcome, Effect, Event, Refusal, RequestId, Scheduler, SchedulerSettings, Signal,
    TargetInfo,
};

use crate::simulation::{Simulation, arrival, key, ms, policy, report, target};

fn simulation(seed: u64) -> Simulation {
    let mut cfg = SchedulerSettings::new("domain-0".into());
    cfg.seed = seed;
    let mut simulation = Simulation::new(cfg, Simulation::fleet(4, 3, 4));
    let quick = policy(PriorityClass::Interactive, 2_000);
    simulation.add_poisson_arrivals(seed, 60.0, (ms(0), ms(20_000)), |id| {
        arrival(id, "a", &quick)
    });
    simulation
}

#[test]
fn crashing_request_kills_at_most_two_targets() {
    for seed in 0..20 {
        let mut simulation = simulation(seed);
        let crashing = key(1);
        simulation.crashing_requests.push(crashing);
        let quick = policy(PriorityClass::Interactive, 2_000);
        for n in 0..40 {
            let mut req = arrival(0, "b", &quick);
            req.fingerprint = crashing;
            req.affinity = key(2);
            // More equal requests at the same time than one target has slots for.
            for _ in 0..10 {
                simulation.arrive_at(ms(1_000 + 150 * n), req.clone());
            }
        }
        simulation.run_until(ms(40_000));
        println!("seed {seed}: killed {:?}", simulation.killed);
        assert!(
            simulation.killed.len() <= 2,
            "seed {seed}: {:?}",
            simulation.killed
        );
        assert!(!simulation.killed.is_empty());
        let others = simulation
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
fn dead_targets_quarantine_no_bystander() {
    for seed in 0..20 {
        let mut simulation = simulation(seed);
        simulation.run_until(ms(2_000));
        simulation.set_domain_down("domain-1", true);
        simulation.run_until(ms(4_000));
        simulation.kill("engine-2-0");
        simulation.run_until(ms(40_000));
        let refused = simulation.records.values();
        let refused = refused.filter(|r| matches!(r.refusal(), Some(Refusal::Quarantined { .. })));
        assert_eq!(refused.count(), 0, "seed {seed}");
    }
}

/// The scheduler of an entry with four targets of one slot.
pub fn entry_scheduler(seed: u64) -> Scheduler {
    scheduler_of(4, seed)
}

/// The scheduler of an entry with so many targets of one slot.
pub fn fleet_scheduler(targets: usize) -> Scheduler {
    scheduler_of(targets, 1)
}

fn scheduler_of(targets: usize, seed: u64) -> Scheduler {
    let mut cfg = SchedulerSettings::new("domain-0".into());
    cfg.seed = seed;
    let mut scheduler = Scheduler::new(cfg);
    let names: Vec<Name> = (0..targets).map(|n| format!("engine-{n}").into()).collect();
    let list = names.iter().map(|n| TargetInfo {
        software: "v1".into(),
        ..target(n, "domain-0")
    });
    let list = list.collect();
    scheduler.on(ms(0), Event::Targets(list), &mut Vec::new());
    for name in names {
        let event = Event::Report {
            target: name,
            report: report(1),
        };
        scheduler.on(ms(0), event, &mut Vec::new());
    }
    scheduler
}

/// Submits an event and returns the target to which it dispatches a request.
pub fn dispatch_target(
    scheduler: &mut Scheduler,
    now: Timestamp,
    event: Event,
    request: u64,
) -> Option<Name> {
    let mut effects = Vec::new();
    scheduler.on(now, event, &mut effects);
    effects.into_iter().find_map(|e| match e {
        Effect::Dispatch { id, target, .. } if id.0 == request => Some(target),
        _ => None,
    })
}

fn arrive(scheduler: &mut Scheduler, now: Timestamp, id: u64) -> Option<Name> {
    let patient = policy(PriorityClass::Patient, 60_000);
    let mut req = arrival(id, "a", &patient);
    req.prompt_tokens = 5_000;
    dispatch_target(scheduler, now, Event::Arrive(req), id)
}

/// Loses the exchange of request 1, and reports its target as unreachable.
fn lose_first_attempt(scheduler: &mut Scheduler, target: &Name) {
    let lost = Event::AttemptEnded {
        id: RequestId(1),
        attempt: 1,
        outcome: AttemptOutcome::Lost,
    };
    let dead = Event::Signal {
        target: target.clone(),
        signal: Signal::Unreachable,
    };
    assert_eq!(dispatch_target(scheduler, ms(100), lost, 1), None);
    assert_eq!(dispatch_target(scheduler, ms(101), dead, 1), None);
}

pub fn tick_until_dispatched(scheduler: &mut Scheduler, from: u64, to: u64) -> Option<Name> {
    (from..to).find_map(|at| dispatch_target(scheduler, ms(at), Event::Tick, 1))
}

#[test]
fn suspected_request_has_same_target_at_all_entries() {
    let mut one = entry_scheduler(1);
    let first = arrive(&mut one, ms(10), 1).unwrap();
    lose_first_attempt(&mut one, &first);
    let second = tick_until_dispatched(&mut one, 102, 1_000).unwrap();
    // At another entry that target is busy, so the request waits for it.
    let mut other = entry_scheduler(2);
    assert_eq!(arrive(&mut other, ms(10), 1), Some(first.clone()));
    let busy: Vec<(u64, Name)> = (2..5)
        .map(|id| (id, arrive(&mut other, ms(11), id).unwrap()))
        .collect();
    for (id, target) in &busy {
        if *target != second {
            other.on(ms(12), Event::CallerLeft(RequestId(*id)), &mut Vec::new());
        }
    }
    lose_first_attempt(&mut other, &first);
    assert_eq!(tick_until_dispatched(&mut other, 102, 1_000), None);
    let (id, _) = busy.iter().find(|(_, target)| *target == second).unwrap();
    other.on(
        ms(1_000),
        Event::CallerLeft(RequestId(*id)),
        &mut Vec::new(),
    );
    assert_eq!(
        tick_until_dispatched(&mut other, 1_000, 2_000),
        Some(second)
    );
}

/// A target may end for another reason while it answers: a request whose answers had begun at two
/// targets that ended goes on at a third.
#[test]
fn request_whose_answers_had_begun_is_not_quarantined() {
    let mut scheduler = entry_scheduler(1);
    let quick = policy(PriorityClass::Patient, 60_000);
    let mut req = arrival(1, "a", &quick);
    req.resumable = true;
    req.max_attempts = 5;
    let mut target = dispatch_target(&mut scheduler, ms(10), Event::Arrive(req), 1);
    for attempt in 1..=2 {
        let at = 1_000 * u64::from(attempt);
        let id = RequestId(1);
        let ended = target.take().expect("the request is dispatched");
        let first = Event::FirstToken { id, attempt };
        scheduler.on(ms(at), first, &mut Vec::new());
        let outcome = AttemptOutcome::CutShort;
        let lost = Event::AttemptEnded {
            id,
            attempt,
            outcome,
        };
        target = dispatch_target(&mut scheduler, ms(at + 1), lost, 1);
        let signal = Signal::Unreachable;
        let dead = Event::Signal {
            target: ended,
            signal,
        };
        target = target.or(dispatch_target(&mut scheduler, ms(at + 2), dead, 1));
        target = target.or_else(|| tick_until_dispatched(&mut scheduler, at + 3, at + 900));
    }
    assert!(target.is_some(), "the request was held back");
}

/// Ends two targets in which the same request runs, so long after each other; returns whether it is
/// quarantined then.
fn quarantined_by_deaths(apart: Duration) -> bool {
    let mut scheduler = entry_scheduler(1);
    for (id, at) in [(1, ms(1_000)), (2, ms(1_000) + apart)] {
        let patient = policy(PriorityClass::Patient, 60_000);
        let mut req = arrival(id, "a", &patient);
        req.fingerprint = key(7);
        let target = dispatch_target(&mut scheduler, at, Event::Arrive(req), id).unwrap();
        let lost = Event::AttemptEnded {
            id: RequestId(id),
            attempt: 1,
            outcome: AttemptOutcome::Lost,
        };
        scheduler.on(at, lost, &mut Vec::new());
        let signal = Signal::Unreachable;
        scheduler.on(at, Event::Signal { target, signal }, &mut Vec::new());
        scheduler.on(at, Event::CallerLeft(RequestId(id)), &mut Vec::new());
    }
    let mut effects = Vec::new();
    let mut req = arrival(3, "a", &policy(PriorityClass::Patient, 60_000));
    req.fingerprint = key(7);
    scheduler.on(ms(2_000) + apart, Event::Arrive(req), &mut effects);
    let refused = |e: &Effect| {
        matches!(
            e,
            Effect::Refuse {
                refusal: Refusal::Quarantined { .. },
                ..
            }
        )
    };
    effects.iter().any(refused)
}

/// Guards against a request that is refused for the end of two targets many minutes apart.
#[test]
fn deaths_long_after_each_other_quarantine_no_request() {
    assert!(quarantined_by_deaths(Duration::from_mins(1)));
    assert!(!quarantined_by_deaths(Duration::from_mins(16)));
}
