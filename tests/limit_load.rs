//! Limits of targets under load, without a network: how many requests reach a limited target from all
//! schedulers together, and what callers get.

#[path = "scheduler/simulation.rs"]
#[allow(dead_code)]
mod simulation;

use std::collections::{BTreeMap, BTreeSet};

use guavahold::catalog::PriorityClass;
use guavahold::prelude::*;
use guavahold::rate_limit::{RateShare, RequestRate, ShareMeter, SharePosition};
use guavahold::scheduler::{
    AttemptOutcome, Effect, Event, Placement, Refusal, RequestId, Scheduler, SchedulerSettings,
};
use simulation::{arrival, ms, policy, report, target};

/// Length of the sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Part of a limit that the schedulers of entries divide.
const FRACTION: f64 = 0.9;

/// Most requests that a limit allows in any window, by the stated target.
fn allowed(limit: RequestRate) -> f64 {
    limit.per_second() * WINDOW.as_secs_f64() * 1.5 + 5.0
}

fn most_in_window(mut sends: Vec<Timestamp>) -> f64 {
    sends.sort_unstable();
    let in_window = |from: &Timestamp| {
        let start = sends.partition_point(|at| at < from);
        sends.partition_point(|at| *at < *from + WINDOW) - start
    };
    let most = sends.iter().map(in_window).max().unwrap_or_default();
    f64::from(u32::try_from(most).unwrap())
}

fn rate(text: &str) -> RequestRate {
    text.parse().unwrap()
}

/// Meters of all schedulers that share a limit; `shift` moves what each takes for the start.
fn meters(limit: RequestRate, count: u32, shift: impl Fn(u32) -> Duration) -> Vec<ShareMeter> {
    let share = |index| {
        let position = SharePosition { of: count, index };
        ShareMeter::new(RateShare::new(limit, FRACTION, position, shift(index)))
    };
    (0..count).map(share).collect()
}

/// Sends a request whenever a meter permits it; `demand` says when a meter has any. Returns the
/// times of the sends.
fn send_all(
    meters: &mut [ShareMeter],
    time: Duration,
    demand: impl Fn(usize, Timestamp) -> bool,
) -> Vec<Timestamp> {
    let mut sends = Vec::new();
    for now in (0..time.as_millis()).step_by(10) {
        let now = ms(u64::try_from(now).unwrap());
        for (n, meter) in meters.iter_mut().enumerate() {
            if demand(n, now) && meter.permits(now) {
                meter.record_use(now);
                sends.push(now);
            }
        }
    }
    sends
}

#[test]
fn share_meter_keeps_limit_at_any_number_of_schedulers() {
    for count in [1, 6, 24, 84, 650] {
        for limit in ["0.4", "2.3", "17", "240"] {
            let limit = rate(limit);
            let mut meters = meters(limit, count, |_| Duration::ZERO);
            let sends = send_all(&mut meters, Duration::from_mins(1), |_, _| true);
            let used = f64::from(u32::try_from(sends.len()).unwrap()) / 60.0;
            let most = most_in_window(sends);
            assert!(most <= allowed(limit), "{count} x {limit}: {most} in 4 s");
            let floor = limit.per_second() * 0.5;
            assert!(
                used >= floor || used * 60.0 >= 11.0,
                "{count} x {limit}: {used} a second"
            );
        }
    }
}

/// After a pause of all callers, the schedulers must not send together what they saved up.
#[test]
fn share_meter_saves_up_nothing_for_a_surge() {
    for count in [6, 84, 650] {
        let limit = rate("2.3");
        let mut meters = meters(limit, count, |_| Duration::ZERO);
        let surge = |_, now: Timestamp| now.as_secs() / 30 % 2 == 1;
        let sends = send_all(&mut meters, Duration::from_mins(4), surge);
        let most = most_in_window(sends);
        assert!(most <= allowed(limit), "{count}: {most} in 4 s");
    }
}

/// Schedulers learn of a limit at different times, and correct the start when they hear of an
/// earlier one.
#[test]
fn share_meter_keeps_limit_while_schedulers_disagree_on_its_start() {
    let limit = rate("2.3");
    for seed in 0..50 {
        let rng = std::cell::RefCell::new(fastrand::Rng::with_seed(seed));
        let late = |_| ms(rng.borrow_mut().u64(..600));
        let mut meters = meters(limit, 24, late);
        let mut sends = send_all(&mut meters, Duration::from_secs(20), |_, _| true);
        for (index, meter) in (0..).zip(&mut meters) {
            let position = SharePosition { of: 25, index };
            meter.set_share(RateShare::new(limit, FRACTION, position, ms(0)));
        }
        let later = send_all(&mut meters, Duration::from_secs(20), |_, _| true);
        sends.extend(later.into_iter().map(|at| at + ms(20_000)));
        let most = most_in_window(sends);
        assert!(most <= allowed(limit), "seed {seed}: {most} in 4 s");
    }
}

/// Two entries that both believe that they are the hub, each with half of the limit, beside all
/// entries with three tenths together.
#[test]
fn share_meter_keeps_limit_with_two_hubs_at_once() {
    for limit in ["0.4", "2.3", "17", "240"] {
        let limit = rate(limit);
        for shift in [0, 130, 700] {
            let share = |fraction, of, index, since| {
                let position = SharePosition { of, index };
                ShareMeter::new(RateShare::new(limit, fraction, position, since))
            };
            let hubs = [share(0.5, 1, 0, ms(0)), share(0.5, 1, 0, ms(shift))];
            let entries = (0..84).map(|index| share(0.3, 84, index, ms(0)));
            let mut meters: Vec<ShareMeter> = hubs.into_iter().chain(entries).collect();
            let sends = send_all(&mut meters, Duration::from_mins(1), |_, _| true);
            let most = most_in_window(sends);
            assert!(most <= allowed(limit), "{limit} {shift}: {most} in 4 s");
        }
    }
}

/// One scheduler with a limited and a free target, on virtual time; every request takes 50 ms.
struct Entry {
    scheduler: Scheduler,
    /// Ends of running attempts: time, request, attempt.
    running: BTreeSet<(Timestamp, RequestId, u32)>,
    /// Times at which requests were sent, by target.
    sent: BTreeMap<String, Vec<Timestamp>>,
    refused: Vec<Refusal>,
    next_id: u64,
}

impl Entry {
    fn new(seed: u64, targets: &[&str]) -> Self {
        let settings = SchedulerSettings {
            seed,
            placement: Placement::LeastWork,
            hedging: false,
            ..SchedulerSettings::new("domain-0".into())
        };
        let mut entry = Self {
            scheduler: Scheduler::new(settings),
            running: BTreeSet::new(),
            sent: BTreeMap::new(),
            refused: Vec::new(),
            next_id: 1,
        };
        let list = targets.iter().map(|name| target(name, "domain-0"));
        entry.submit(ms(0), Event::Targets(list.collect()));
        for name in targets {
            let report = report(64);
            let target = (*name).into();
            entry.submit(ms(0), Event::Report { target, report });
        }
        entry
    }

    fn limit(&mut self, now: Timestamp, name: &str, share: Option<RateShare>) {
        let target = name.into();
        self.submit(now, Event::RateShare { target, share });
    }

    fn submit(&mut self, now: Timestamp, event: Event) {
        let mut effects = Vec::new();
        self.scheduler.on(now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Dispatch {
                    id,
                    attempt,
                    target,
                    ..
                } => {
                    self.sent.entry(target.to_string()).or_default().push(now);
                    self.running.insert((now + ms(50), id, attempt));
                }
                Effect::Refuse { refusal, .. } => self.refused.push(refusal),
                _ => {}
            }
        }
    }

    fn arrive(&mut self, now: Timestamp) {
        let policy = policy(PriorityClass::Standard, 4_000);
        let arrival = arrival(self.next_id, "a", &policy);
        self.next_id += 1;
        self.submit(now, Event::Arrive(arrival));
    }

    /// Ends the attempts that are due, and ticks.
    fn advance(&mut self, now: Timestamp) {
        while let Some((at, id, attempt)) = self.running.first().copied() {
            if at > now {
                break;
            }
            self.running.pop_first();
            self.submit(now, Event::FirstToken { id, attempt });
            let outcome = AttemptOutcome::Done;
            self.submit(
                now,
                Event::AttemptEnded {
                    id,
                    attempt,
                    outcome,
                },
            );
        }
        self.submit(now, Event::Tick);
    }

    fn sent_to(&self, name: &str) -> Vec<Timestamp> {
        self.sent.get(name).cloned().unwrap_or_default()
    }
}

/// Each of `count` entries gets a request every 100 ms; returns them after `seconds`.
fn play(count: u32, limit: RequestRate, targets: &[&str], seconds: u64) -> Vec<Entry> {
    let mut entries: Vec<Entry> = (0..count)
        .map(|n| Entry::new(u64::from(n), targets))
        .collect();
    for (index, entry) in (0..).zip(&mut entries) {
        let position = SharePosition { of: count, index };
        let share = RateShare::new(limit, FRACTION, position, ms(0));
        entry.limit(ms(0), targets[0], Some(share));
    }
    for now in (0..seconds * 1_000).step_by(5) {
        for (n, entry) in (0..).zip(&mut entries) {
            if (now + n * 7) % 100 < 5 {
                entry.arrive(ms(now));
            }
            entry.advance(ms(now));
        }
    }
    entries
}

/// Requests that no longer fit the limited target go to the other one at once: nobody is refused,
/// and the limited target is used for what it takes.
#[test]
fn scheduler_sends_what_exceeds_a_limit_elsewhere() {
    for count in [6, 24] {
        let limit = rate("2.3");
        let entries = play(count, limit, &["limited", "free"], 40);
        let sent: Vec<Timestamp> = entries.iter().flat_map(|e| e.sent_to("limited")).collect();
        let used = f64::from(u32::try_from(sent.len()).unwrap()) / 40.0;
        assert!(used >= 0.5 * limit.per_second(), "{count}: {used} a second");
        let most = most_in_window(sent);
        assert!(most <= allowed(limit), "{count}: {most} in 4 s");
        let refused: usize = entries.iter().map(|e| e.refused.len()).sum();
        assert_eq!(refused, 0);
    }
}

/// With every target limited, callers that cannot be served in time are refused on arrival with
/// "has not run", and those that are served use what the limit allows.
#[test]
fn scheduler_refuses_at_once_what_limits_cannot_serve() {
    let limit = rate("12");
    let entries = play(6, limit, &["limited"], 40);
    let sent: Vec<Timestamp> = entries.iter().flat_map(|e| e.sent_to("limited")).collect();
    let used = f64::from(u32::try_from(sent.len()).unwrap()) / 40.0;
    assert!(used >= 0.5 * limit.per_second(), "{used} a second");
    assert!(most_in_window(sent) <= allowed(limit));
    for entry in &entries {
        let not_run = |r: &Refusal| r.run() == guavahold::http::RunState::NotRun;
        assert!(entry.refused.iter().all(not_run));
        assert!(entry.scheduler.queued() < 20, "few wait in vain");
        assert!(!entry.refused.is_empty());
    }
}

#[test]
fn scheduler_uses_target_as_before_once_its_limit_is_lifted() {
    let mut entry = Entry::new(1, &["limited"]);
    let position = SharePosition { of: 1, index: 0 };
    let share = RateShare::new(rate("0.2"), FRACTION, position, ms(0));
    entry.limit(ms(0), "limited", Some(share));
    for now in (0..2_000).step_by(5) {
        if now % 100 == 0 {
            entry.arrive(ms(now));
        }
        entry.advance(ms(now));
    }
    let before = entry.sent_to("limited").len();
    assert!(before <= 1);
    assert!(entry.scheduler.has_rate_share("limited"));
    entry.limit(ms(2_000), "limited", None);
    for now in (2_000..3_000).step_by(5) {
        entry.arrive(ms(now));
        entry.advance(ms(now));
    }
    assert!(entry.sent_to("limited").len() >= 200);
}
