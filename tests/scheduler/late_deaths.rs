//! Requests in whose answers targets end.

use guavahold::catalog::PriorityClass;
use guavahold::scheduler::{AttemptOutcome, Effect, Event, RequestId, Signal, TargetInfo};

use crate::quarantine::{dispatch_target, fleet_scheduler, tick_until_dispatched};
use crate::simulation::{arrival, key, ms, policy, report, target};

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
