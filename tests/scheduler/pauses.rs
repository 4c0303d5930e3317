//! Targets that ask for a pause or say that they are leaving.

use guavahold::catalog::PriorityClass;
use guavahold::scheduler::{AttemptOutcome, Effect, Event, RequestId, Signal};

use crate::simulation::{ms, policy, report, target};
use crate::test_scheduler::TestScheduler;

/// Refuses the running request of a target, which asks for a pause.
fn pause_by_refusal(scheduler: &mut TestScheduler, id: u64, pause: u64) {
    let outcome = AttemptOutcome::Refused {
        retry_after: Some(ms(pause)),
    };
    scheduler.end(id, 1, outcome);
}

fn dispatches_to(scheduler: &TestScheduler, name: &str) -> usize {
    let effects = scheduler.effects.iter();
    let dispatched =
        effects.filter(|e| matches!(e, Effect::Dispatch { target, .. } if **target == *name));
    dispatched.count()
}

/// Not even a target's success, a probe or its registration anew lifts a pause.
#[test]
fn target_pause_is_lifted_by_nothing() {
    let mut scheduler = TestScheduler::new(1);
    let patient = policy(PriorityClass::Interactive, 60_000);
    scheduler.arrive(1, &patient);
    pause_by_refusal(&mut scheduler, 1, 10_000);
    let before = dispatches_to(&scheduler, "engine-0");
    scheduler.signal("engine-0", Signal::Reachable);
    scheduler.submit(Event::Targets(Vec::new()));
    scheduler.submit(Event::Targets(vec![target("engine-0", "domain-0")]));
    scheduler.report("engine-0", report(1));
    scheduler.arrive(2, &patient);
    scheduler.wait(9_900);
    assert_eq!(dispatches_to(&scheduler, "engine-0"), before);
    scheduler.wait(2_000);
    assert!(dispatches_to(&scheduler, "engine-0") > before);
}

/// A request that no target takes before its deadline is refused at once, and its caller learns
/// when the first target takes work again. One that can wait is queued.
#[test]
fn target_pause_beyond_deadline_refuses_at_once() {
    let mut scheduler = TestScheduler::new(1);
    let (hasty, patient) = (
        policy(PriorityClass::Interactive, 2_000),
        policy(PriorityClass::Interactive, 90_000),
    );
    scheduler.arrive(1, &patient);
    scheduler.submit(Event::Signal {
        target: "engine-0".into(),
        signal: Signal::Pause(ms(45_000)),
    });
    scheduler.arrive(2, &hasty);
    let refused = scheduler.effects.iter().find_map(|e| match e {
        Effect::Refuse { id, refusal } if *id == RequestId(2) => Some(refusal.clone()),
        _ => None,
    });
    let wait = refused.expect("refused at once").retry_after();
    assert!(wait >= ms(45_000), "told to come back after {wait:?}");
    scheduler.arrive(3, &patient);
    let is_refused = |e: &Effect| matches!(e, Effect::Refuse { id, .. } if *id == RequestId(3));
    assert!(!scheduler.effects.iter().any(is_refused));
    assert!(!scheduler.inner.may_send("engine-0"));
}

/// A target that has started anew under its name is another one: it is no longer leaving.
#[test]
fn says_leaving_does_not_bind_a_new_start() {
    let mut scheduler = TestScheduler::new(1);
    scheduler.signal("engine-0", Signal::Leaving);
    assert!(!scheduler.inner.may_send("engine-0"));
    let mut anew = target("engine-0", "domain-0");
    anew.started_ms = 1;
    scheduler.submit(Event::Targets(vec![anew]));
    scheduler.report("engine-0", report(1));
    assert!(scheduler.inner.may_send("engine-0"));
}

/// The scheduler that granted a target may not know yet that it is gone or leaving.
#[test]
fn may_send_only_to_listed_targets_that_stay() {
    let mut scheduler = TestScheduler::new(2);
    assert!(scheduler.inner.may_send("engine-0") && scheduler.inner.may_send("engine-1"));
    let mut leaving = target("engine-0", "domain-0");
    leaving.leaving = true;
    scheduler.submit(Event::Targets(vec![leaving]));
    assert!(!scheduler.inner.may_send("engine-0"), "it is leaving");
    assert!(!scheduler.inner.may_send("engine-1"), "it is gone");
    assert!(!scheduler.inner.may_send("engine-2"), "it was never listed");
}
