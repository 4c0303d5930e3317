//! Requests that go on with a stream: only targets of the software version that began it.

use guavahold::catalog::PriorityClass;
use guavahold::scheduler::{
    Arrival, AttemptOutcome, Effect, Event, Placement, Refusal, RequestId, Scheduler,
    SchedulerSettings, Signal, TargetInfo,
};

use crate::simulation::{arrival, ms, policy, report, target};

/// Targets with their software versions.
fn scheduler(placement: Placement, targets: &[(&str, &str)]) -> Scheduler {
    let settings = SchedulerSettings {
        placement,
        hedging: false,
        ..SchedulerSettings::new("a".into())
    };
    let mut scheduler = Scheduler::new(settings);
    list(&mut scheduler, 0, targets);
    scheduler
}

fn list(scheduler: &mut Scheduler, now: u64, targets: &[(&str, &str)]) {
    let info = |(name, software): &(&str, &str)| TargetInfo {
        software: (*software).into(),
        ..target(name, "a")
    };
    let infos = targets.iter().map(info).collect();
    scheduler.on(ms(now), Event::Targets(infos), &mut Vec::new());
    for (name, _) in targets {
        let event = Event::Report {
            target: (*name).into(),
            report: report(8),
        };
        scheduler.on(ms(now), event, &mut Vec::new());
    }
}

/// A resumable request; `prefix` says whether its prompt fills a block.
fn request(id: u64, software: Option<&str>, prefix: bool) -> Arrival {
    Arrival {
        software: software.map(Into::into),
        resumable: true,
        prompt_tokens: if prefix { 4_000 } else { 200 },
        max_attempts: 3,
        ..arrival(id, "a", &policy(PriorityClass::Standard, 5_000))
    }
}

fn submit(scheduler: &mut Scheduler, now: u64, event: Event) -> Vec<Effect> {
    let mut effects = Vec::new();
    scheduler.on(ms(now), event, &mut effects);
    effects
}

fn dispatched_to(effects: &[Effect]) -> Option<&str> {
    effects.iter().find_map(|effect| match effect {
        Effect::Dispatch { target, .. } => Some(&**target),
        _ => None,
    })
}

#[test]
fn resumed_request_goes_to_a_target_of_its_version() {
    let targets = [("t-1", "v1"), ("t-2", "v2"), ("t-3", "v2"), ("t-4", "v2")];
    let placements = [
        Placement::FirstWithRoom,
        Placement::LeastWork,
        Placement::LeastWorkOfAll,
    ];
    for placement in placements {
        let mut scheduler = scheduler(placement, &targets);
        for id in 0..8 {
            let arrival = request(id, Some("v1"), id % 2 == 0);
            let effects = submit(&mut scheduler, 0, Event::Arrive(arrival));
            assert_eq!(dispatched_to(&effects), Some("t-1"), "{placement:?}");
        }
    }
}

/// The version is gone, or never was known: waiting would not help.
#[test]
fn resumed_request_without_a_target_of_its_version_is_refused_at_once() {
    let mut scheduler = scheduler(Placement::LeastWork, &[("t-1", "v2"), ("t-2", "")]);
    for (id, software) in [(1, "v1"), (2, "")] {
        let arrival = request(id, Some(software), true);
        let effects = submit(&mut scheduler, 0, Event::Arrive(arrival));
        let [Effect::Refuse { refusal, .. }] = &effects[..] else {
            panic!("expected a refusal, got {effects:?}");
        };
        assert!(matches!(refusal, Refusal::NoTarget { .. }));
    }
}

#[test]
fn retry_after_the_first_event_stays_at_the_version() {
    let targets = [("t-1", "v1"), ("t-2", "v1"), ("t-3", "v2"), ("t-4", "v2")];
    for seed in 0..20 {
        let mut scheduler = scheduler(Placement::LeastWork, &targets);
        let id = RequestId(seed);
        let effects = submit(&mut scheduler, 0, Event::Arrive(request(seed, None, true)));
        let first = dispatched_to(&effects).expect("a dispatch").to_owned();
        submit(&mut scheduler, 10, Event::FirstToken { id, attempt: 1 });
        let ended = Event::AttemptEnded {
            id,
            attempt: 1,
            outcome: AttemptOutcome::CutShort,
        };
        let mut effects = submit(&mut scheduler, 20, ended);
        // The retry waits until it is known that the target did not die of the request.
        let reachable = Event::Signal {
            target: first.as_str().into(),
            signal: Signal::Reachable,
        };
        effects.extend(submit(&mut scheduler, 25, reachable));
        for now in 3..100 {
            effects.extend(submit(&mut scheduler, now * 10, Event::Tick));
        }
        let second = dispatched_to(&effects).expect("a retry");
        let version = |name: &str| targets.iter().find(|(n, _)| *n == name).unwrap().1;
        assert_eq!(version(&first), version(second));
    }
}

/// Without the name of the first request, only one version over a minute tells where a stream began.
#[test]
fn sole_software_needs_a_minute_after_a_change() {
    let mut scheduler = scheduler(Placement::LeastWork, &[("t-1", "v1"), ("t-2", "v1")]);
    assert_eq!(scheduler.sole_software("chat"), Some("v1".into()));
    list(&mut scheduler, 1_000, &[("t-1", "v1"), ("t-3", "v2")]);
    assert_eq!(scheduler.sole_software("chat"), None);
    list(&mut scheduler, 2_000, &[("t-3", "v2")]);
    assert_eq!(scheduler.sole_software("chat"), None);
    submit(&mut scheduler, 61_900, Event::Tick);
    assert_eq!(scheduler.sole_software("chat"), None);
    submit(&mut scheduler, 62_000, Event::Tick);
    assert_eq!(scheduler.sole_software("chat"), Some("v2".into()));
}

/// While all targets are busy and others queue, a slot at the only target of its version goes to the
/// request that can run nowhere else.
#[test]
fn resumed_request_goes_before_queued_ones_at_its_version() {
    let mut scheduler = scheduler(Placement::LeastWork, &[("t-1", "v1"), ("t-2", "v2")]);
    let mut at_first = None;
    for id in 0..16 {
        let effects = submit(&mut scheduler, 0, Event::Arrive(request(id, None, false)));
        if dispatched_to(&effects) == Some("t-1") {
            at_first = Some(RequestId(id));
        }
    }
    let at_first = at_first.expect("a request at t-1");
    for id in 16..24 {
        submit(&mut scheduler, 1, Event::Arrive(request(id, None, false)));
    }
    let resumed = RequestId(24);
    submit(
        &mut scheduler,
        2,
        Event::Arrive(request(24, Some("v1"), false)),
    );
    let ended = Event::AttemptEnded {
        id: at_first,
        attempt: 1,
        outcome: AttemptOutcome::Done,
    };
    let effects = submit(&mut scheduler, 50, ended);
    let [Effect::Dispatch { id, target, .. }] = &effects[..] else {
        panic!("expected a dispatch, got {effects:?}");
    };
    assert_eq!((*id, &**target), (resumed, "t-1"));
}
