//! Placement by what each target has read, in the only scheduler of its targets.

use guavahold::catalog::PriorityClass;
use guavahold::prelude::*;
use guavahold::scheduler::{Effect, Event, Placement, RequestId, Scheduler, SchedulerSettings};
use guavahold::target::LoadReport;

use crate::simulation::{arrival, key, ms, policy, report, target};

/// The only scheduler of three targets, which sends prompts of 10,000 tokens of which 9,000 are
/// shared.
struct OnlyScheduler {
    inner: Scheduler,
    effects: Vec<Effect>,
    next_id: u64,
}

impl OnlyScheduler {
    fn new() -> Self {
        let cfg = SchedulerSettings {
            placement: Placement::LeastWorkOfAll,
            hedging: false,
            ..SchedulerSettings::new("domain-0".into())
        };
        let mut scheduler = Self {
            inner: Scheduler::new(cfg),
            effects: Vec::new(),
            next_id: 0,
        };
        let names = ["a", "b", "c"];
        let list = names.iter().map(|n| target(n, "domain-0")).collect();
        scheduler.submit(Event::Targets(list));
        for name in names {
            scheduler.report(name, "v1");
        }
        scheduler
    }

    fn submit(&mut self, event: Event) {
        self.inner.on(ms(0), event, &mut self.effects);
    }

    fn report(&mut self, name: &str, weights: &str) {
        let report = LoadReport {
            context_limit: 100_000,
            weights: vec![weights.into()],
            ..report(16)
        };
        let target = name.into();
        self.submit(Event::Report { target, report });
    }

    /// Sends a prompt with a shared start; returns its number, its target and whether a neighbour
    /// was named from which the start can be fetched.
    fn send(&mut self, start: u64) -> (u64, Name, bool) {
        self.next_id += 1;
        let patient = policy(PriorityClass::Standard, 60_000);
        let mut req = arrival(self.next_id, "a", &patient);
        (req.prompt_tokens, req.shared_tokens) = (10_000, 9_000);
        req.weights = ["v1", "v2"].into_iter().map(Name::from).collect();
        req.affinity = key(start);
        self.effects.clear();
        self.submit(Event::Arrive(req));
        match self.effects.first() {
            Some(Effect::Dispatch {
                target, neighbour, ..
            }) => (self.next_id, target.clone(), neighbour.is_some()),
            other => panic!("expected a dispatch, got {other:?}"),
        }
    }

    fn end(&mut self, id: u64) {
        let (id, attempt) = (RequestId(id), 1);
        self.submit(Event::FirstToken { id, attempt });
        self.submit(Event::AttemptEnded {
            id,
            attempt,
            outcome: guavahold::scheduler::AttemptOutcome::Done,
        });
    }
}

/// While the target that has read the start of a prompt has little work, all prompts with that start
/// go there, though the others are idle.
#[test]
fn least_work_of_all_returns_to_target_that_read_the_start() {
    let mut scheduler = OnlyScheduler::new();
    let (id, first, _) = scheduler.send(7);
    scheduler.end(id);
    for _ in 0..50 {
        let (id, target, neighbour) = scheduler.send(7);
        assert_eq!((target, neighbour), (first.clone(), false));
        scheduler.end(id);
    }
}

/// When waiting there takes longer than reading the start anew, another target gets it, and is told
/// where to fetch it. From then on both have it.
#[test]
fn least_work_of_all_spreads_a_start_that_is_asked_for_often() {
    let mut scheduler = OnlyScheduler::new();
    let (id, first, _) = scheduler.send(7);
    scheduler.end(id);
    let mut sent: Vec<(u64, Name, bool)> = (0..12).map(|_| scheduler.send(7)).collect();
    let elsewhere = sent.iter().position(|(_, target, _)| *target != first);
    let elsewhere = elsewhere.expect("another target is used");
    assert!(elsewhere >= 5, "already after {elsewhere}");
    assert!(sent[elsewhere].2, "the start can be fetched from the first");
    for (id, ..) in sent.drain(..) {
        scheduler.end(id);
    }
    let (_, target, neighbour) = scheduler.send(7);
    assert!(!neighbour, "{target} has the start");
}

/// A target that loads other weights has lost all starts.
#[test]
fn least_work_of_all_forgets_starts_with_weights() {
    let mut scheduler = OnlyScheduler::new();
    let (id, first, _) = scheduler.send(7);
    scheduler.end(id);
    scheduler.report(&first, "v2");
    let (_, target, neighbour) = scheduler.send(7);
    assert!(
        target != first && !neighbour,
        "nobody has read it under v1 or v2"
    );
}
