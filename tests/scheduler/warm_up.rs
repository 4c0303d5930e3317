//! Targets that warm up: each reason for it, its end, and what is sent meanwhile.

use std::collections::HashMap;

use guavahold::catalog::PriorityClass;
use guavahold::prelude::*;
use guavahold::rate_limit::{ColdBound, RequestRate, SharePosition, WarmUpAllowance};
use guavahold::scheduler::{
    AttemptOutcome, Effect, Event, Placement, RequestId, Scheduler, SchedulerSettings, Signal,
    TargetInfo, WarmUpPlan, WarmUpReason,
};

use crate::simulation::{arrival, ms, policy, report, target};

/// How long a target is cold after it starts, in ms.
const COLD_MS: u64 = 3_000;

/// A scheduler of one entry with the target `cold`, and others that are listed with it.
struct Entry {
    inner: Scheduler,
    now: Timestamp,
    effects: Vec<Effect>,
    next_id: u64,
}

impl Entry {
    fn new(per_second: f64, targets: &[&str]) -> Self {
        let settings = SchedulerSettings {
            placement: Placement::LeastWork,
            hedging: false,
            ..SchedulerSettings::new("domain-0".into())
        };
        let mut entry = Self {
            inner: Scheduler::new(settings),
            now: ms(60_000),
            effects: Vec::new(),
            next_id: 1,
        };
        entry.plan(per_second);
        entry.list(targets.iter().map(|name| target(name, "domain-0")));
        entry
    }

    /// Sets the plan of the target `cold`; none without a rate.
    fn plan(&mut self, per_second: f64) {
        let bound = ColdBound {
            over: 1.5,
            slack: 5.0,
        };
        let allowed = WarmUpAllowance::new(RequestRate::from_per_second(per_second), bound);
        let position = SharePosition { of: 1, index: 0 };
        let plan = WarmUpPlan {
            share: allowed.entry_share(position, false, Duration::ZERO),
            time: ms(COLD_MS),
        };
        let plans = (per_second > 0.0).then(|| ("cold".into(), plan));
        let plans: HashMap<Name, WarmUpPlan> = plans.into_iter().collect();
        self.submit(Event::WarmUpPlans(Arc::new(plans)));
    }

    fn list(&mut self, targets: impl Iterator<Item = TargetInfo>) {
        let list: Vec<TargetInfo> = targets.collect();
        let names: Vec<Name> = list.iter().map(|t| t.name.clone()).collect();
        self.submit(Event::Targets(list));
        for target in names {
            let report = report(64);
            self.submit(Event::Report { target, report });
        }
    }

    fn submit(&mut self, event: Event) {
        self.inner.on(self.now, event, &mut self.effects);
    }

    fn signal(&mut self, signal: Signal) {
        let target = "cold".into();
        self.submit(Event::Signal { target, signal });
    }

    fn arrive(&mut self, tokens: u32) {
        let policy = policy(PriorityClass::Standard, 20_000);
        let mut arrival = arrival(self.next_id, "a", &policy);
        arrival.prompt_tokens = tokens;
        self.next_id += 1;
        self.submit(Event::Arrive(arrival));
    }

    fn wait(&mut self, time: u64) {
        for _ in 0..time / 5 {
            self.now += ms(5);
            self.submit(Event::Tick);
        }
    }

    /// Requests sent to a target, and whether each was counted against its warm-up.
    fn sent(&self, name: &str) -> Vec<bool> {
        let sent = self.effects.iter().filter_map(|effect| match effect {
            Effect::Dispatch {
                target,
                within_warm_up,
                ..
            } if **target == *name => Some(*within_warm_up),
            _ => None,
        });
        sent.collect()
    }

    fn reason(&self) -> Option<WarmUpReason> {
        let warming = self.inner.warming_targets(self.now);
        warming.first().map(|w| w.reason)
    }

    /// Checks that the target warms up for this reason and this long, is sent little meanwhile,
    /// counted from the first request on, and takes all requests afterwards.
    fn check_warm_up(&mut self, reason: WarmUpReason, left_ms: u64) {
        assert_eq!(self.reason(), Some(reason));
        let left = self.inner.warming_targets(self.now)[0].time_left;
        assert_eq!(left, ms(left_ms));
        self.effects.clear();
        for _ in 0..60 {
            self.arrive(200);
        }
        self.wait(1_000);
        let sent = self.sent("cold");
        assert!(sent.len() <= 20 && sent.len() >= 8, "{} sent", sent.len());
        assert!(sent.iter().all(|counted| *counted));
        self.wait(left_ms - 1_000);
        assert_eq!(self.reason(), None);
        self.wait(100);
        assert_eq!(self.sent("cold").len(), 60, "all are sent once it is warm");
    }
}

#[test]
fn target_of_the_first_list_is_warm() {
    let mut entry = Entry::new(16.0, &["cold"]);
    assert_eq!(entry.reason(), None);
    for _ in 0..60 {
        entry.arrive(200);
    }
    assert_eq!(entry.sent("cold"), vec![false; 60]);
}

#[test]
fn target_that_was_unreachable_warms_up() {
    let mut entry = Entry::new(16.0, &["cold"]);
    entry.signal(Signal::Unreachable);
    entry.wait(2_000);
    assert_eq!(entry.reason(), None);
    entry.signal(Signal::Reachable);
    entry.check_warm_up(WarmUpReason::Recovered, COLD_MS);
}

/// The first request after a crash may find the target back before any probe has failed.
#[test]
fn target_that_a_request_did_not_reach_warms_up() {
    let mut entry = Entry::new(16.0, &["cold"]);
    entry.arrive(200);
    entry.submit(Event::AttemptEnded {
        id: RequestId(1),
        attempt: 1,
        outcome: AttemptOutcome::NotSent,
    });
    entry.signal(Signal::Reachable);
    assert_eq!(entry.reason(), Some(WarmUpReason::Recovered));
}

#[test]
fn target_that_a_peer_found_ended_warms_up() {
    let mut entry = Entry::new(16.0, &["cold"]);
    entry.signal(Signal::MayHaveRestarted);
    entry.check_warm_up(WarmUpReason::Recovered, COLD_MS);
}

#[test]
fn target_that_says_that_it_is_cold_warms_up_for_that_long() {
    let mut entry = Entry::new(16.0, &["cold"]);
    entry.signal(Signal::Cold(ms(1_700)));
    entry.signal(Signal::Cold(ms(1_200)));
    entry.check_warm_up(WarmUpReason::Announced, 1_700);
}

#[test]
fn target_that_started_anew_warms_up() {
    let mut entry = Entry::new(16.0, &["cold"]);
    let mut restarted = target("cold", "domain-0");
    restarted.started_ms = 7;
    entry.list([restarted].into_iter());
    entry.check_warm_up(WarmUpReason::Restarted, COLD_MS);
}

/// The list may be empty for a moment, which is no first list.
#[test]
fn target_registered_after_the_first_list_warms_up() {
    let mut entry = Entry::new(16.0, &["other"]);
    entry.list([].into_iter());
    entry.list([target("cold", "domain-0")].into_iter());
    entry.check_warm_up(WarmUpReason::Registered, COLD_MS);
}

#[test]
fn target_of_a_domain_that_returned_warms_up() {
    let mut entry = Entry::new(16.0, &["cold"]);
    let evacuate = |domains: &[&str]| {
        let domains = domains.iter().map(|domain| (*domain).into());
        Event::Evacuations(domains.collect())
    };
    entry.submit(evacuate(&["domain-0", "domain-1"]));
    entry.submit(evacuate(&["domain-0"]));
    assert_eq!(entry.reason(), None);
    entry.submit(evacuate(&[]));
    entry.check_warm_up(WarmUpReason::DomainReturned, COLD_MS);
}

/// The latest end of several reasons counts.
#[test]
fn target_that_is_cold_for_two_reasons_warms_up_until_the_later_end() {
    let mut entry = Entry::new(16.0, &["cold"]);
    entry.signal(Signal::Cold(ms(5_000)));
    entry.signal(Signal::MayHaveRestarted);
    entry.check_warm_up(WarmUpReason::Recovered, 5_000);
}

#[test]
fn target_without_a_plan_never_warms_up() {
    let mut entry = Entry::new(0.0, &["cold"]);
    entry.signal(Signal::Unreachable);
    entry.wait(2_000);
    entry.signal(Signal::Reachable);
    assert_eq!(entry.reason(), None);
    assert!(entry.inner.count_uncounted(entry.now, "cold"));
    entry.wait(6_000);
    for _ in 0..60 {
        entry.arrive(200);
    }
    assert_eq!(entry.sent("cold"), vec![false; 60]);
}

/// A configuration without the setting ends a warm-up, and one that has it again begins none.
#[test]
fn target_whose_plan_is_removed_is_warm() {
    let mut entry = Entry::new(16.0, &["cold"]);
    entry.signal(Signal::MayHaveRestarted);
    entry.plan(0.0);
    assert_eq!(entry.reason(), None);
}

/// The stricter of a limit that the target names and of a warm-up counts.
#[test]
fn target_with_a_limit_and_a_warm_up_gets_what_the_stricter_permits() {
    for (limit, most) in [("1000", 20), ("2", 4)] {
        let mut entry = Entry::new(16.0, &["cold"]);
        let position = SharePosition { of: 1, index: 0 };
        let rate: RequestRate = limit.parse().unwrap();
        let share = guavahold::rate_limit::RateShare::new(rate, 0.9, position, ms(0));
        let target = "cold".into();
        let share = Some(share);
        entry.submit(Event::RateShare { target, share });
        entry.signal(Signal::MayHaveRestarted);
        for _ in 0..60 {
            entry.arrive(200);
        }
        entry.wait(1_000);
        let sent = entry.sent("cold").len();
        assert!((1..=most).contains(&sent), "limit {limit}: {sent}");
    }
}

/// A send that its scheduler did not count uses the entry's own share, so that requests dispatched
/// just before the entry learned of the warm-up do not come on top.
#[test]
fn uncounted_sends_use_the_share() {
    let mut entry = Entry::new(16.0, &["cold"]);
    for _ in 0..40 {
        entry.arrive(200);
    }
    entry.signal(Signal::MayHaveRestarted);
    let mut passed = 0;
    for step in 0..200 {
        let now = entry.now + ms(5 * step);
        passed += u32::from(entry.inner.count_uncounted(now, "cold"));
    }
    assert!((8..=20).contains(&passed), "{passed} passed in a second");
}

/// A request confirmed before it is sent was placed when the target was still warm.
#[test]
fn confirmed_request_is_counted_when_its_target_has_become_cold() {
    let mut entry = Entry::new(16.0, &["cold"]);
    for _ in 0..40 {
        entry.arrive(200);
    }
    entry.signal(Signal::MayHaveRestarted);
    entry.effects.clear();
    for id in 1..=40 {
        entry.submit(Event::Confirm(RequestId(id)));
    }
    let sent = entry.sent("cold");
    // A right holds for a few intervals.
    assert!(sent.len() <= 4, "{} sent at once", sent.len());
    assert!(sent.iter().all(|counted| *counted));
}

/// Few requests may be sent to a cold target, so those with much work are: short ones go there when
/// the others have more to do, and are not kept waiting.
#[test]
fn cold_target_is_left_to_long_prompts_while_others_have_little_to_do() {
    let mut entry = Entry::new(16.0, &["cold", "warm"]);
    entry.signal(Signal::MayHaveRestarted);
    let sent = |entry: &Entry| (entry.sent("cold").len(), entry.sent("warm").len());
    entry.arrive(2_500);
    assert_eq!(sent(&entry), (0, 1));
    entry.arrive(1_100);
    assert_eq!(sent(&entry), (0, 2), "a short one waits at the busy target");
    entry.wait(200);
    entry.arrive(6_000);
    assert_eq!(
        sent(&entry),
        (1, 2),
        "a long one gains more from the idle target"
    );
    for _ in 0..40 {
        entry.arrive(1_100);
        entry.wait(50);
    }
    let (cold, warm) = sent(&entry);
    assert_eq!(cold + warm, 43, "none is kept waiting");
    assert!(
        cold > 1,
        "short ones go to the cold target once the other has more to do"
    );
}

/// Guards against a panic for one target that states a time that no clock can hold.
#[test]
fn target_that_says_that_it_is_cold_for_ever_costs_no_other() {
    for time in [Duration::MAX, Duration::from_secs(u64::MAX / 2)] {
        let mut entry = Entry::new(16.0, &["cold"]);
        entry.signal(Signal::Cold(time));
        assert_eq!(entry.reason(), Some(WarmUpReason::Announced));
    }
}
