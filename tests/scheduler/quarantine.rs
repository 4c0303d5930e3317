//! Quarantine of requests that crash the targets that run them.

use guavahold::catalog::PriorityClass;
use guavahold::prelude::*;
use guavahold::scheduler::{
    AttemptOutcome, Effect, Event, Refusal, RequestId, Scheduler, SchedulerSettings, Signal,
    SuspectRequest, TargetInfo,
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
fn entry_scheduler(seed: u64) -> Scheduler {
    scheduler_of(4, seed)
}

/// The scheduler of an entry with so many targets of one slot.
fn fleet_scheduler(targets: usize) -> Scheduler {
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
fn dispatch_target(
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

fn tick_until_dispatched(scheduler: &mut Scheduler, from: u64, to: u64) -> Option<Name> {
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

/// Sends the same request `times` times, each to a target that ends after its first event, or before
/// with `early`; returns whether it is refused then.
fn quarantined_by_late_deaths(times: u64, early: bool, is_leaving: bool) -> bool {
    quarantined_in_domain(8, times, early, is_leaving)
}

fn quarantined_in_domain(targets: usize, times: u64, early: bool, is_leaving: bool) -> bool {
    let mut scheduler = fleet_scheduler(targets);
    for n in 0..times {
        let at = ms(1_000 + 500 * n);
        let Some(target) = dispatch_target(&mut scheduler, at, arrive_seven(n), n) else {
            return true;
        };
        let id = RequestId(n);
        if !early {
            scheduler.on(at, Event::FirstToken { id, attempt: 1 }, &mut Vec::new());
        }
        let signal = |signal| Event::Signal {
            target: target.clone(),
            signal,
        };
        if is_leaving {
            scheduler.on(at, signal(Signal::Leaving), &mut Vec::new());
        }
        let lost = Event::AttemptEnded {
            id,
            attempt: 1,
            outcome: AttemptOutcome::CutShort,
        };
        scheduler.on(at, lost, &mut Vec::new());
        scheduler.on(at, signal(Signal::Unreachable), &mut Vec::new());
        scheduler.on(at, Event::CallerLeft(id), &mut Vec::new());
    }
    let mut effects = Vec::new();
    let at = ms(1_400 + 500 * times);
    scheduler.on(at, arrive_seven(times), &mut effects);
    let refused = |e: &Effect| matches!(e, Effect::Refuse { .. });
    effects.iter().any(refused)
}

/// Guards against a request that is never held back since the targets that it ends come back under
/// their names, and against one that waits for its deadline since all targets are among them.
#[test]
fn ends_of_one_target_count_as_often_as_it_was_started() {
    for (restarts, victims) in [(true, 4), (false, 1)] {
        let mut scheduler = fleet_scheduler(1);
        for n in 0..4 {
            let started_ms = if restarts { 1_000 + n } else { 1_000 };
            let list = vec![TargetInfo {
                started_ms,
                ..target("engine-0", "domain-0")
            }];
            let at = ms(1_000 + 1_000 * n);
            let signal = |signal| Event::Signal {
                target: "engine-0".into(),
                signal,
            };
            scheduler.on(at, Event::Targets(list), &mut Vec::new());
            let loaded = Event::Report {
                target: "engine-0".into(),
                report: report(1),
            };
            scheduler.on(at, loaded, &mut Vec::new());
            scheduler.on(at, signal(Signal::Reachable), &mut Vec::new());
            let arrives = at + ms(500);
            let id = RequestId(n);
            let to = dispatch_target(&mut scheduler, arrives, arrive_seven(n), n);
            assert!(to.is_some(), "start {n}");
            scheduler.on(
                arrives,
                Event::FirstToken { id, attempt: 1 },
                &mut Vec::new(),
            );
            let ended = Event::AttemptEnded {
                id,
                attempt: 1,
                outcome: AttemptOutcome::CutShort,
            };
            scheduler.on(arrives, ended, &mut Vec::new());
            scheduler.on(arrives, signal(Signal::Unreachable), &mut Vec::new());
            scheduler.on(arrives, Event::CallerLeft(id), &mut Vec::new());
        }
        let known = scheduler.suspects(ms(5_000), 1).remove(0);
        assert_eq!(known.answering_victims.len(), victims, "{known:?}");
        assert_eq!(known.is_quarantined(), restarts);
    }
}

/// A peer of the build before names the target alone: its notice counts no end twice.
#[test]
fn end_told_without_the_start_of_its_process_counts_once() {
    let mut scheduler = entry_scheduler(1);
    for name in ["x@17", "x", "x@17"] {
        let suspect = SuspectRequest::new(key(1), vec![name.into()], Duration::ZERO);
        scheduler.on(ms(1), Event::Quarantine(suspect), &mut Vec::new());
    }
    assert_eq!(scheduler.suspects(ms(2), 1)[0].victims.len(), 1);
    let again = SuspectRequest::new(key(1), vec!["x@18".into()], Duration::ZERO);
    scheduler.on(ms(3), Event::Quarantine(again), &mut Vec::new());
    assert!(scheduler.suspects(ms(4), 1)[0].is_quarantined());
}

/// A request with a fixed fingerprint.
fn arrive_seven(id: u64) -> Event {
    let mut req = arrival(id, "a", &policy(PriorityClass::Patient, 60_000));
    req.fingerprint = key(7);
    Event::Arrive(req)
}

/// Guards against a stream that ends each target after its first event and is never held back.
#[test]
fn request_that_ends_four_targets_in_its_answer_is_quarantined() {
    assert!(!quarantined_by_late_deaths(3, false, false));
    assert!(quarantined_by_late_deaths(4, false, false));
    assert!(quarantined_by_late_deaths(2, true, false));
}

/// Guards against a request that is taken for a bystander of the loss of the failure domain whose
/// targets it ended.
#[test]
fn request_that_ends_most_of_a_domain_in_its_answer_is_quarantined() {
    assert!(quarantined_in_domain(5, 4, false, false));
}

/// Guards against a request that is held back since targets ended that had said that they would.
#[test]
fn ends_of_leaving_targets_quarantine_no_request() {
    assert!(!quarantined_by_late_deaths(4, false, true));
    assert!(!quarantined_by_late_deaths(2, true, true));
}

/// Guards against a request that clears itself by running whole now and then: each whole run takes
/// one end back.
#[test]
fn whole_run_takes_back_one_end_in_an_answer() {
    let mut scheduler = fleet_scheduler(16);
    let mut refused_after = None;
    for n in 0..12 {
        let at = ms(1_000 + 500 * n);
        let Some(target) = dispatch_target(&mut scheduler, at, arrive_seven(n), n) else {
            refused_after = Some(n);
            break;
        };
        let id = RequestId(n);
        scheduler.on(at, Event::FirstToken { id, attempt: 1 }, &mut Vec::new());
        let is_whole = n % 3 == 2;
        let outcome = if is_whole {
            AttemptOutcome::Done
        } else {
            AttemptOutcome::CutShort
        };
        let ended = Event::AttemptEnded {
            id,
            attempt: 1,
            outcome,
        };
        scheduler.on(at, ended, &mut Vec::new());
        if !is_whole {
            let signal = Signal::Unreachable;
            scheduler.on(at, Event::Signal { target, signal }, &mut Vec::new());
        }
        scheduler.on(at, Event::CallerLeft(id), &mut Vec::new());
    }
    // Two of three crash: one, two, one left, two, three, two left, three, four.
    assert_eq!(refused_after, Some(8));
}

/// Guards against a resumed stream that waits for the probe of its target although one end counts for
/// nothing yet.
#[test]
fn stream_whose_target_may_have_ended_is_resumed_at_once() {
    let mut scheduler = fleet_scheduler(4);
    let mut req = arrival(1, "a", &policy(PriorityClass::Patient, 60_000));
    req.resumable = true;
    req.max_attempts = 3;
    let id = RequestId(1);
    dispatch_target(&mut scheduler, ms(10), Event::Arrive(req), 1).unwrap();
    scheduler.on(
        ms(50),
        Event::FirstToken { id, attempt: 1 },
        &mut Vec::new(),
    );
    let lost = Event::AttemptEnded {
        id,
        attempt: 1,
        outcome: AttemptOutcome::CutShort,
    };
    let resumed = dispatch_target(&mut scheduler, ms(60), lost, 1);
    let resumed = resumed.or_else(|| tick_until_dispatched(&mut scheduler, 61, 150));
    assert!(resumed.is_some(), "the stream waits for the probe");
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

/// Two targets that ended while the request with fingerprint `n` ran, so long ago.
fn told(n: u64, ttl: Duration, age: Duration) -> SuspectRequest {
    SuspectRequest {
        age,
        ..SuspectRequest::new(key(n), vec!["x".into(), "y".into()], ttl)
    }
}

fn known_after(at: Timestamp, suspect: SuspectRequest) -> Vec<SuspectRequest> {
    let mut scheduler = entry_scheduler(1);
    scheduler.on(at, Event::Quarantine(suspect), &mut Vec::new());
    scheduler.suspects(at, 10)
}

/// Guards against a quarantine that lasts for ever since entries that restart are told of it again.
#[test]
fn quarantine_that_is_told_again_ends_when_it_would_have() {
    let (mut at, mut suspect) = (ms(0), told(1, Duration::from_mins(10), Duration::ZERO));
    for _ in 0..9 {
        let known = known_after(at, suspect.clone());
        assert_eq!(known, [suspect.clone()], "at {at:?}");
        let mut scheduler = entry_scheduler(1);
        scheduler.on(at, Event::Quarantine(suspect), &mut Vec::new());
        at += Duration::from_mins(1);
        suspect = scheduler.suspects(at, 10).remove(0);
    }
    assert_eq!(suspect.ttl, Duration::from_mins(1));
    assert_eq!(suspect.age, Duration::from_mins(9));
    let mut scheduler = entry_scheduler(1);
    scheduler.on(at, Event::Quarantine(suspect.clone()), &mut Vec::new());
    assert!(
        scheduler
            .suspects(at + Duration::from_mins(1), 10)
            .is_empty()
    );
    let long_ago = told(1, Duration::ZERO, Duration::from_mins(10));
    assert!(known_after(at, long_ago).is_empty());
    // Without a remaining time, it lasts from the end of the last target on.
    let earlier = told(1, Duration::ZERO, Duration::from_mins(4));
    let known = known_after(Duration::from_hours(1), earlier);
    assert_eq!(known[0].ttl, Duration::from_mins(6));
}

/// Guards against peers that send an entry that joins without end.
#[test]
fn suspects_are_told_up_to_a_bound_the_latest_first() {
    let mut scheduler = entry_scheduler(1);
    for n in 0..40 {
        let suspect = told(n, Duration::from_mins(5), Duration::ZERO);
        scheduler.on(ms(n), Event::Quarantine(suspect), &mut Vec::new());
    }
    let suspects = scheduler.suspects(ms(40), 3);
    let fingerprints: Vec<_> = suspects.iter().map(|s| s.fingerprint).collect();
    assert_eq!(fingerprints, [key(39), key(38), key(37)]);
}
