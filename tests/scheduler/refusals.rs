//! Each way in which a request is refused: the code of the refusal, and what it says about the run.

use std::collections::BTreeMap;
use std::fmt::Write;

use guavahold::catalog::{Policy, PriorityClass};
use guavahold::prelude::*;
use guavahold::scheduler::{
    Arrival, AttemptOutcome, Effect, Event, Refusal, RequestId, Signal, SuspectRequest,
};
use guavahold::target::LoadReport;

use crate::simulation::{arrival, key, ms, policy, report};
use crate::test_scheduler::TestScheduler;

fn quick() -> Arc<Policy> {
    policy(PriorityClass::Interactive, 800)
}

fn non_idempotent() -> Arc<Policy> {
    Arc::new(Policy {
        idempotent: false,
        ..(*quick()).clone()
    })
}

type Case = fn() -> Refusal;

fn draining() -> Refusal {
    let mut scheduler = TestScheduler::new(1);
    scheduler.submit(Event::Drain);
    scheduler.arrive(1, &quick());
    scheduler.refusal(1)
}

fn unknown_model() -> Refusal {
    let mut scheduler = TestScheduler::new(1);
    let req = Arrival {
        serves: "other".into(),
        ..arrival(1, "a", &quick())
    };
    scheduler.submit(Event::Arrive(req));
    scheduler.refusal(1)
}

fn all_leaving() -> Refusal {
    let mut scheduler = TestScheduler::new(2);
    scheduler.signal("engine-0", Signal::Leaving);
    let leaving = LoadReport {
        leaving: true,
        ..report(1)
    };
    scheduler.report("engine-1", leaving);
    scheduler.arrive(1, &quick());
    scheduler.refusal(1)
}

fn queued_then_all_leave() -> Refusal {
    let mut scheduler = TestScheduler::new(1);
    scheduler.arrive(1, &quick());
    scheduler.arrive(2, &quick());
    scheduler.signal("engine-0", Signal::Leaving);
    scheduler.refusal(2)
}

fn all_evacuated() -> Refusal {
    let mut scheduler = TestScheduler::new(2);
    scheduler.submit(Event::Evacuations(["domain-0".into()].into()));
    scheduler.arrive(1, &quick());
    scheduler.refusal(1)
}

fn customer_queue_full() -> Refusal {
    let mut scheduler = TestScheduler::new(1);
    for id in 1..=4 {
        scheduler.arrive(id, &quick());
    }
    scheduler.refusal(4)
}

fn predicted_late() -> Refusal {
    let mut scheduler = TestScheduler::new(1);
    scheduler.arrive(1, &quick());
    scheduler.wait(700);
    scheduler.end(1, 1, AttemptOutcome::Done);
    scheduler.arrive(2, &quick());
    scheduler.arrive(3, &quick());
    scheduler.arrive(4, &quick());
    scheduler.refusal(4)
}

fn deadline_passed() -> Refusal {
    let mut scheduler = TestScheduler::new(1);
    scheduler.arrive(1, &quick());
    scheduler.arrive(2, &quick());
    scheduler.wait(800);
    scheduler.refusal(2)
}

fn claim_too_late() -> Refusal {
    let mut scheduler = TestScheduler::new(1);
    scheduler.arrive(1, &non_idempotent());
    scheduler.now += ms(900);
    scheduler.submit(Event::Confirm(RequestId(1)));
    scheduler.refusal(1)
}

fn claim_without_target() -> Refusal {
    let mut scheduler = TestScheduler::new(1);
    scheduler.arrive(1, &non_idempotent());
    scheduler.signal("engine-0", Signal::Leaving);
    scheduler.submit(Event::Confirm(RequestId(1)));
    scheduler.refusal(1)
}

fn never_sent() -> Refusal {
    let mut scheduler = TestScheduler::new(1);
    scheduler.arrive(1, &non_idempotent());
    for attempt in 1..=4 {
        scheduler.end(1, attempt, AttemptOutcome::NotSent);
        scheduler.signal("engine-0", Signal::Reachable);
    }
    scheduler.refusal(1)
}

fn refused_by_targets() -> Refusal {
    let mut scheduler = TestScheduler::new(4);
    scheduler.arrive(1, &non_idempotent());
    for attempt in 1..=3 {
        scheduler.end(1, attempt, AttemptOutcome::Refused { retry_after: None });
        scheduler.wait(170);
    }
    scheduler.refusal(1)
}

fn lost_once() -> Refusal {
    let mut scheduler = TestScheduler::new(2);
    scheduler.arrive(1, &non_idempotent());
    scheduler.end(1, 1, AttemptOutcome::Lost);
    scheduler.refusal(1)
}

fn wrong_weights_once() -> Refusal {
    let mut scheduler = TestScheduler::new(2);
    scheduler.arrive(1, &non_idempotent());
    scheduler.end(1, 1, AttemptOutcome::WrongWeights);
    scheduler.refusal(1)
}

fn cut_short() -> Refusal {
    let mut scheduler = TestScheduler::new(2);
    scheduler.arrive(1, &quick());
    scheduler.submit(Event::FirstToken {
        id: RequestId(1),
        attempt: 1,
    });
    scheduler.end(1, 1, AttemptOutcome::CutShort);
    scheduler.refusal(1)
}

fn lost_until_deadline() -> Refusal {
    let mut scheduler = TestScheduler::new(1);
    scheduler.arrive(1, &quick());
    scheduler.end(1, 1, AttemptOutcome::Lost);
    scheduler.wait(900);
    scheduler.refusal(1)
}

fn quarantined_by_peer() -> Refusal {
    let mut scheduler = TestScheduler::new(2);
    scheduler.submit(Event::Quarantine(SuspectRequest::new(
        key(1),
        vec!["x".into(), "y".into()],
        ms(5_000),
    )));
    scheduler.arrive(1, &quick());
    scheduler.refusal(1)
}

fn quarantined_then_domain_lost() -> Refusal {
    let mut scheduler = TestScheduler::new(4);
    let running = Arrival {
        fingerprint: key(1),
        ..arrival(7, "a", &quick())
    };
    scheduler.submit(Event::Arrive(running));
    scheduler.submit(Event::Quarantine(SuspectRequest::new(
        key(1),
        vec!["engine-0".into()],
        ms(5_000),
    )));
    for name in ["engine-0", "engine-1", "engine-2"] {
        scheduler.signal(name, Signal::Unreachable);
    }
    scheduler.submit(Event::CallerLeft(RequestId(7)));
    scheduler.arrive(1, &quick());
    scheduler.refusal(1)
}

fn quarantined_while_waiting() -> Refusal {
    let mut scheduler = TestScheduler::new(1);
    scheduler.arrive(2, &quick());
    scheduler.arrive(1, &quick());
    scheduler.submit(Event::Quarantine(SuspectRequest::new(
        key(1),
        vec!["x".into(), "y".into()],
        ms(5_000),
    )));
    scheduler.refusal(1)
}

fn quarantined_after_two_deaths() -> Refusal {
    let mut scheduler = TestScheduler::new(6);
    let patient = policy(PriorityClass::Patient, 60_000);
    scheduler.arrive(1, &patient);
    for attempt in 1..=2 {
        let target = scheduler.last_target();
        scheduler.end(1, attempt, AttemptOutcome::Lost);
        scheduler.signal(&target, Signal::Unreachable);
        scheduler.wait(300);
    }
    assert_eq!(scheduler.dispatches(), 2);
    scheduler.refusal(1)
}

fn lost_with_its_domain() -> Refusal {
    let mut scheduler = TestScheduler::new(4);
    scheduler.arrive(1, &policy(PriorityClass::Patient, 60_000));
    let first = scheduler.last_target();
    scheduler.end(1, 1, AttemptOutcome::Lost);
    scheduler.signal(&first, Signal::Unreachable);
    scheduler.wait(300);
    let second = scheduler.last_target();
    let others = ["engine-0", "engine-1", "engine-2", "engine-3"].into_iter();
    for name in others.filter(|n| *n != first && *n != second) {
        scheduler.signal(name, Signal::Unreachable);
    }
    scheduler.end(1, 2, AttemptOutcome::Lost);
    scheduler.signal(&second, Signal::Unreachable);
    scheduler.wait(500);
    scheduler.refusal(1)
}

#[test]
fn refusals_say_whether_the_request_ran() {
    let cases: [(&str, Case); 21] = [
        ("draining", draining),
        ("unknown model", unknown_model),
        ("all targets leaving", all_leaving),
        ("queued, then all targets leave", queued_then_all_leave),
        ("all targets evacuated", all_evacuated),
        ("customer's queue full", customer_queue_full),
        ("predicted to be late", predicted_late),
        ("deadline passed in the queue", deadline_passed),
        ("claim confirmed after the deadline", claim_too_late),
        ("claim confirmed without a target", claim_without_target),
        ("never sent", never_sent),
        ("refused by each target", refused_by_targets),
        ("non-idempotent, lost", lost_once),
        ("non-idempotent, wrong weights", wrong_weights_once),
        ("cut short after its first token", cut_short),
        (
            "lost, then no target until the deadline",
            lost_until_deadline,
        ),
        ("quarantined by a peer", quarantined_by_peer),
        (
            "quarantined by a peer, then its victim's domain is lost",
            quarantined_then_domain_lost,
        ),
        ("quarantined while waiting", quarantined_while_waiting),
        ("quarantined after two deaths", quarantined_after_two_deaths),
        ("lost with its whole domain", lost_with_its_domain),
    ];
    let mut lines = String::new();
    let mut variants = BTreeMap::new();
    for (name, case) in cases {
        let refusal = case();
        assert!(!refusal.retry_after().is_zero(), "{name}");
        *variants.entry(variant(&refusal)).or_insert(0) += 1;
        writeln!(lines, "{name}: {}, {}", refusal.code(), refusal.run()).unwrap();
    }
    insta::assert_snapshot!(lines);
    assert_eq!(
        variants.len(),
        7,
        "each kind of refusal has a case: {variants:?}"
    );
}

/// Number of a refusal's variant; a new variant does not compile until it is listed here.
fn variant(refusal: &Refusal) -> u8 {
    match refusal {
        Refusal::Overloaded { .. } => 0,
        Refusal::DeadlineUnreachable { .. } => 1,
        Refusal::NoTarget { .. } => 2,
        Refusal::Quarantined { .. } => 3,
        Refusal::Failed { .. } => 4,
        Refusal::Draining { .. } => 5,
        Refusal::Evacuated { .. } => 6,
    }
}

/// Two failed connections in a row show that a target is gone: the request that waits there is
/// dispatched to another one. The probe between them must not count as a failure.
#[test]
fn unreachable_target_hands_over_its_waiting_requests() {
    let mut scheduler = TestScheduler::new(2);
    let patient = policy(PriorityClass::Interactive, 60_000);
    scheduler.arrive(1, &patient);
    let lost = scheduler.last_target();
    scheduler.signal(&lost, Signal::Unreachable);
    let probes = |s: &TestScheduler| {
        let effects = s.effects.iter();
        effects
            .filter(|e| matches!(e, Effect::Probe { target, .. } if **target == *lost))
            .count()
    };
    scheduler.wait(3_000);
    assert!(probes(&scheduler) >= 1, "the target is probed");
    let cancelled = |s: &TestScheduler| {
        let is_cancel = |e: &Effect| {
            matches!(
                e,
                Effect::Cancel {
                    id: RequestId(1),
                    ..
                }
            )
        };
        s.effects.iter().any(is_cancel)
    };
    assert!(
        !cancelled(&scheduler),
        "one failed connection proves nothing"
    );
    scheduler.signal(&lost, Signal::Unreachable);
    assert!(cancelled(&scheduler));
    scheduler.wait(100);
    assert_ne!(scheduler.last_target(), lost);
}
