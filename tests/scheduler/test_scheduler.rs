//! A scheduler that a test drives one event at a time.

use guavahold::catalog::Policy;
use guavahold::prelude::*;
use guavahold::scheduler::{
    AttemptOutcome, Effect, Event, Refusal, RequestId, Scheduler, SchedulerSettings, Signal,
};
use guavahold::target::LoadReport;

use crate::simulation::{arrival, ms, report, target};

/// A scheduler with its clock and the effects that it returned.
pub struct TestScheduler {
    pub inner: Scheduler,
    pub now: Timestamp,
    pub effects: Vec<Effect>,
}

impl TestScheduler {
    pub fn new(targets: u32) -> Self {
        let mut cfg = SchedulerSettings::new("domain-0".into());
        cfg.max_queued = 4;
        cfg.max_queued_per_customer = 2;
        let mut scheduler = Self {
            inner: Scheduler::new(cfg),
            now: ms(1_000),
            effects: Vec::new(),
        };
        let names: Vec<String> = (0..targets).map(|n| format!("engine-{n}")).collect();
        let list = names.iter().map(|n| target(n, "domain-0")).collect();
        scheduler.submit(Event::Targets(list));
        for name in names {
            scheduler.report(&name, report(1));
        }
        scheduler
    }

    pub fn report(&mut self, name: &str, report: LoadReport) {
        self.submit(Event::Report {
            target: name.into(),
            report,
        });
    }

    pub fn submit(&mut self, event: Event) {
        self.inner.on(self.now, event, &mut self.effects);
    }

    pub fn arrive(&mut self, id: u64, policy: &Arc<Policy>) {
        self.submit(Event::Arrive(arrival(id, "a", policy)));
    }

    pub fn end(&mut self, id: u64, attempt: u32, outcome: AttemptOutcome) {
        self.submit(Event::AttemptEnded {
            id: RequestId(id),
            attempt,
            outcome,
        });
    }

    pub fn signal(&mut self, name: &str, signal: Signal) {
        self.submit(Event::Signal {
            target: name.into(),
            signal,
        });
    }

    pub fn wait(&mut self, time: u64) {
        for _ in 0..time / 5 {
            self.now += ms(5);
            self.submit(Event::Tick);
        }
    }

    /// Target of the latest dispatch.
    pub fn last_target(&self) -> String {
        let mut dispatches = self.effects.iter().rev().filter_map(|e| match e {
            Effect::Dispatch { target, .. } => Some(target.to_string()),
            _ => None,
        });
        dispatches.next().unwrap()
    }

    pub fn dispatches(&self) -> usize {
        let dispatched = |e: &&Effect| matches!(e, Effect::Dispatch { .. });
        self.effects.iter().filter(dispatched).count()
    }

    pub fn refusal(&self, id: u64) -> Refusal {
        let mut refusals = self.effects.iter().filter_map(|e| match e {
            Effect::Refuse {
                id: refused,
                refusal,
            } if refused.0 == id => Some(refusal.clone()),
            _ => None,
        });
        let refusal = refusals.next().expect("refused");
        assert!(refusals.next().is_none(), "refused twice");
        refusal
    }
}
