//! Requests that are restricted to failure domains: whatever way leads to a target, it is in one of
//! them.

#[path = "residency/fixture.rs"]
mod fixture;

use fixture::{
    TARGETS, allowed, assert_placed, dispatched, info, is_in_domain_1, name, no_target_pause,
    restricted, scheduler, submit, unrestricted,
};
use guavahold::catalog::{Policy, PriorityClass};
use guavahold::prelude::*;
use guavahold::scheduler::{
    Arrival, AttemptOutcome, Effect, Event, Placement, RequestId, Scheduler, Signal, SuspectRequest,
};
use guavahold::target::LoadReport;

use crate::simulation::{key, policy, report};

const PLACEMENTS: [Placement; 3] = [
    Placement::FirstWithRoom,
    Placement::LeastWork,
    Placement::LeastWorkOfAll,
];

#[test]
fn restricted_request_is_placed_in_allowed_domain() {
    for placement in PLACEMENTS {
        for seed in 0..20 {
            let mut scheduler = scheduler(placement, seed, 8);
            for id in 0..16 {
                let event = Event::Arrive(restricted(id, id % 2 == 0));
                assert_placed(&submit(&mut scheduler, 0, event));
            }
            assert_eq!(scheduler.broken_invariants(), 0);
        }
    }
}

/// Every entry has to find the same home for a prompt, or its start is cached at many targets.
#[test]
fn restricted_prompt_has_same_home_for_every_seed() {
    let home = |seed| {
        let mut scheduler = scheduler(Placement::LeastWork, seed, 8);
        assert_placed(&submit(
            &mut scheduler,
            0,
            Event::Arrive(restricted(7, true)),
        ))
    };
    let first = home(0);
    assert!((1..20).all(|seed| home(seed) == first));
}

/// A response that cannot come must not be waited for, also while other regions have room.
#[test]
fn restricted_request_without_allowed_target_is_refused_at_once() {
    for placement in PLACEMENTS {
        let mut scheduler = scheduler(placement, 1, 8);
        for (id, domains) in [&["elsewhere"][..], &[]].into_iter().enumerate() {
            let arrival = Arrival {
                allowed: Some(allowed(domains)),
                ..restricted(id as u64, true)
            };
            let effects = submit(&mut scheduler, 0, Event::Arrive(arrival));
            assert!(no_target_pause(&effects) > Duration::ZERO);
        }
        for n in (1..TARGETS).step_by(4) {
            let signal = Signal::Leaving;
            let target = name(n);
            submit(&mut scheduler, 10, Event::Signal { target, signal });
        }
        let effects = submit(&mut scheduler, 20, Event::Arrive(restricted(9, true)));
        no_target_pause(&effects);
    }
}

/// Fills the allowed domain, so that one more restricted request waits.
fn with_waiting(placement: Placement) -> Scheduler {
    let mut scheduler = scheduler(placement, 3, 1);
    for id in 0..4 {
        assert_placed(&submit(
            &mut scheduler,
            0,
            Event::Arrive(restricted(id, true)),
        ));
    }
    let effects = submit(&mut scheduler, 0, Event::Arrive(restricted(4, true)));
    assert!(effects.is_empty(), "{effects:?}");
    scheduler
}

#[test]
fn restricted_request_waits_for_its_domain_and_holds_up_no_other() {
    for placement in PLACEMENTS {
        let mut scheduler = with_waiting(placement);
        let effects = submit(&mut scheduler, 10, Event::Arrive(unrestricted(5)));
        let others = dispatched(&effects);
        assert_eq!(others.len(), 1, "{effects:?}");
        assert!(!is_in_domain_1(&others[0].1));
        let ended = Event::AttemptEnded {
            id: RequestId(2),
            attempt: 1,
            outcome: AttemptOutcome::Done,
        };
        let effects = submit(&mut scheduler, 20, ended);
        assert_placed(&effects);
        assert_eq!(dispatched(&effects)[0].0, RequestId(4));
    }
}

#[test]
fn waiting_restricted_request_is_refused_when_its_domain_goes() {
    for placement in PLACEMENTS {
        let mut scheduler = with_waiting(placement);
        let others = (0..TARGETS).filter(|n| n % 4 != 1).map(info).collect();
        let effects = submit(&mut scheduler, 10, Event::Targets(others));
        let waiting = effects
            .iter()
            .filter(|e| matches!(e, Effect::Refuse { id, .. } if *id == RequestId(4)));
        assert_eq!(waiting.count(), 1, "{effects:?}");
    }
}

#[test]
fn retry_stays_in_allowed_domain() {
    for placement in PLACEMENTS {
        for seed in 0..20 {
            let mut scheduler = scheduler(placement, seed, 8);
            let request = Arrival {
                max_attempts: 4,
                ..restricted(0, true)
            };
            let mut tried = vec![assert_placed(&submit(
                &mut scheduler,
                0,
                Event::Arrive(request),
            ))];
            for attempt in 1..4 {
                let ended = Event::AttemptEnded {
                    id: RequestId(0),
                    attempt,
                    outcome: AttemptOutcome::Withheld,
                };
                tried.push(assert_placed(&submit(&mut scheduler, 100, ended)));
            }
            tried.sort_unstable();
            tried.dedup();
            assert_eq!(tried.len(), 4, "each allowed target was tried");
        }
    }
}

#[test]
fn hedge_stays_in_allowed_domain() {
    for seed in 0..20 {
        let mut scheduler = scheduler(Placement::LeastWork, seed, 8);
        // First tokens from which the time of a hedge is learned, and successes that pay for it.
        for id in 1_000..1_100 {
            submit(&mut scheduler, 0, Event::Arrive(unrestricted(id)));
            let (id, attempt) = (RequestId(id), 1);
            submit(&mut scheduler, 1, Event::FirstToken { id, attempt });
            let outcome = AttemptOutcome::Done;
            let ended = Event::AttemptEnded {
                id,
                attempt,
                outcome,
            };
            submit(&mut scheduler, 1, ended);
        }
        let first = assert_placed(&submit(
            &mut scheduler,
            10,
            Event::Arrive(restricted(0, true)),
        ));
        // Timers of the requests above come first, and one call runs a limited number.
        let ticks = (0..4).flat_map(|n| submit(&mut scheduler, 2_000 + n, Event::Tick));
        let hedged = assert_placed(&ticks.collect::<Vec<_>>());
        assert_ne!(first, hedged);
    }
}

/// All entries isolate a suspected request at the same target, which must be an allowed one.
#[test]
fn suspected_request_is_isolated_in_allowed_domain() {
    for id in 0..20 {
        let mut scheduler = scheduler(Placement::LeastWork, 1, 8);
        let quarantine = Event::Quarantine(SuspectRequest::new(
            key(id),
            vec!["engine-1".into()],
            Duration::ZERO,
        ));
        submit(&mut scheduler, 0, quarantine);
        // By then, peers have told what they know of the request.
        let arrive = Event::Arrive(restricted(id, true));
        let target = assert_placed(&submit(&mut scheduler, 500, arrive));
        assert_ne!(&*target, "engine-1");
    }
}

/// A claimed request whose target goes is moved even to a target without room.
#[test]
fn claimed_request_moves_within_allowed_domain() {
    for id in 0..20 {
        let mut scheduler = scheduler(Placement::FirstWithRoom, id, 1);
        let once = Arc::new(Policy {
            idempotent: false,
            ..(*policy(PriorityClass::Standard, 5_000)).clone()
        });
        let mut first = Name::default();
        for id in 0..4 {
            let request = Arrival {
                policy: once.clone(),
                ..restricted(id, true)
            };
            first = assert_placed(&submit(&mut scheduler, 0, Event::Arrive(request)));
        }
        let signal = Signal::Leaving;
        let target = first.clone();
        submit(&mut scheduler, 10, Event::Signal { target, signal });
        let moved = assert_placed(&submit(&mut scheduler, 20, Event::Confirm(RequestId(3))));
        assert_ne!(moved, first);
    }
}

/// A fetch from a target in another region would move context of the prompt.
#[test]
fn neighbour_is_in_allowed_domain() {
    let prompt = |id, seed, domain: usize| Arrival {
        affinity: key(500 + seed),
        allowed: Some(allowed(&[&format!("domain-{domain}")])),
        ..restricted(id, true)
    };
    for placement in PLACEMENTS {
        for seed in 0..20 {
            let mut scheduler = scheduler(placement, seed, 8);
            // A target of each domain has the prompt cached, the least loaded ones elsewhere.
            let mut holder = Name::default();
            for domain in [1, 0, 2, 3] {
                let arrive = Event::Arrive(prompt(domain as u64, seed, domain));
                let placed = dispatched(&submit(&mut scheduler, 0, arrive));
                if domain == 1 {
                    holder = placed[0].1.clone();
                }
            }
            let busy = LoadReport {
                context_tokens: 1,
                context_limit: 1,
                ..report(8)
            };
            let target = holder.clone();
            submit(
                &mut scheduler,
                10,
                Event::Report {
                    target,
                    report: busy,
                },
            );
            let effects = submit(&mut scheduler, 20, Event::Arrive(prompt(9, seed, 1)));
            let [
                Effect::Dispatch {
                    target, neighbour, ..
                },
            ] = &effects[..]
            else {
                panic!("expected a dispatch, got {effects:?}");
            };
            assert!(is_in_domain_1(target) && *target != holder);
            let ports = neighbour.map(|address| format!("engine-{}", address.port() - 9_000));
            assert_eq!(ports.as_deref(), Some(&*holder), "{placement:?}");
        }
    }
}

/// The entry's last check, where the scheduler that chose the target does not know the restriction.
#[test]
fn is_allowed_knows_targets_by_name_and_address() {
    let scheduler = scheduler(Placement::LeastWork, 1, 8);
    let allowed = allowed(&["domain-1"]);
    assert!(scheduler.is_allowed("engine-5", &allowed));
    assert!(!scheduler.is_allowed("engine-4", &allowed));
    assert!(!scheduler.is_allowed("unknown", &allowed));
    assert!(scheduler.is_allowed_at(info(5).address, &allowed));
    assert!(!scheduler.is_allowed_at(info(4).address, &allowed));
    assert!(!scheduler.is_allowed_at(info(99).address, &allowed));
}

/// Two queues share the slots of a domain; the one with a steady supply must not take all of them.
#[test]
fn restricted_requests_are_not_starved_by_others() {
    let mut scheduler = scheduler(Placement::FirstWithRoom, 1, 1);
    let mut running = std::collections::VecDeque::new();
    let (mut served, mut next) = ([0, 0], 0);
    for round in 0..200_u64 {
        let now = round * 10;
        let mut effects = Vec::new();
        for is_restricted in [false, false, false, true] {
            let request = Arrival {
                customer: if is_restricted { "r" } else { "u" }.into(),
                ..if is_restricted {
                    restricted(next, false)
                } else {
                    unrestricted(next)
                }
            };
            effects.extend(submit(&mut scheduler, now, Event::Arrive(request)));
            next += 1;
        }
        // One slot becomes free in each round, after all are taken.
        if running.len() >= TARGETS {
            let id = running.pop_front().unwrap();
            let (attempt, outcome) = (1, AttemptOutcome::Done);
            let ended = Event::AttemptEnded {
                id,
                attempt,
                outcome,
            };
            effects.extend(submit(&mut scheduler, now + 5, ended));
        }
        for (id, _) in dispatched(&effects) {
            running.push_back(id);
            served[usize::from(id.0 % 4 == 3)] += 1;
        }
    }
    let [unrestricted, restricted] = served;
    assert!(
        restricted >= 20,
        "{restricted} restricted, {unrestricted} others"
    );
    assert!(
        unrestricted >= restricted,
        "{restricted} restricted, {unrestricted} others"
    );
}
