//! Every way to a refusal, by type, and what it says about the run.

use std::collections::BTreeMap;
use std::fmt::Write;

use guavahold::catalog::{Policy, PriorityClass};
use guavahold::decide::{
    Arrival, AttemptOutcome, Desk, DeskSettings, Effect, Event, Refusal, RequestId, Signal,
};
use guavahold::prelude::*;
use guavahold::target::LoadReport;

use crate::world::{arrival, key, ms, policy, report, target};

/// A desk with its clock and all it asked for.
struct Bench {
    desk: Desk,
    now: Stamp,
    effects: Vec<Effect>,
}

impl Bench {
    fn new(targets: u32) -> Self {
        let mut cfg = DeskSettings::new("domain-0".into());
        cfg.queue = 4;
        cfg.customer_queue = 2;
        let mut bench = Self {
            desk: Desk::new(cfg),
            now: ms(1_000),
            effects: Vec::new(),
        };
        let names: Vec<String> = (0..targets).map(|n| format!("engine-{n}")).collect();
        let list = names.iter().map(|n| target(n, "domain-0")).collect();
        bench.tell(Event::Targets(list));
        for name in names {
            bench.report(&name, report(1));
        }
        bench
    }

    fn report(&mut self, name: &str, report: LoadReport) {
        self.tell(Event::Report {
            target: name.into(),
            report,
        });
    }

    fn tell(&mut self, event: Event) {
        self.desk.on(self.now, event, &mut self.effects);
    }

    fn arrive(&mut self, id: u64, policy: &Arc<Policy>) {
        self.tell(Event::Arrive(arrival(id, "a", policy)));
    }

    fn end(&mut self, id: u64, attempt: u32, outcome: AttemptOutcome) {
        self.tell(Event::Ended {
            id: RequestId(id),
            attempt,
            outcome,
        });
    }

    fn signal(&mut self, name: &str, signal: Signal) {
        self.tell(Event::Signal {
            target: name.into(),
            signal,
        });
    }

    fn wait(&mut self, time: u64) {
        for _ in 0..time / 5 {
            self.now += ms(5);
            self.tell(Event::Tick);
        }
    }

    /// Target of the last dispatch.
    fn last_target(&self) -> String {
        let mut dispatches = self.effects.iter().rev().filter_map(|e| match e {
            Effect::Dispatch { target, .. } => Some(target.to_string()),
            _ => None,
        });
        dispatches.next().unwrap()
    }

    fn dispatches(&self) -> usize {
        let dispatched = |e: &&Effect| matches!(e, Effect::Dispatch { .. });
        self.effects.iter().filter(dispatched).count()
    }

    fn refusal(&self, id: u64) -> Refusal {
        let mut refusals = self.effects.iter().filter_map(|e| match e {
            Effect::Refuse { id: of, refusal } if of.0 == id => Some(refusal.clone()),
            _ => None,
        });
        let refusal = refusals.next().expect("refused");
        assert!(refusals.next().is_none(), "refused twice");
        refusal
    }
}

fn quick() -> Arc<Policy> {
    policy(PriorityClass::Interactive, 800)
}

fn once() -> Arc<Policy> {
    Arc::new(Policy {
        idempotent: false,
        ..(*quick()).clone()
    })
}

type Case = fn() -> Refusal;

fn draining() -> Refusal {
    let mut bench = Bench::new(1);
    bench.tell(Event::Drain);
    bench.arrive(1, &quick());
    bench.refusal(1)
}

fn unknown_model() -> Refusal {
    let mut bench = Bench::new(1);
    let req = Arrival {
        serves: "other".into(),
        ..arrival(1, "a", &quick())
    };
    bench.tell(Event::Arrive(req));
    bench.refusal(1)
}

fn all_leaving() -> Refusal {
    let mut bench = Bench::new(2);
    bench.signal("engine-0", Signal::Leaving);
    let leaving = LoadReport {
        leaving: true,
        ..report(1)
    };
    bench.report("engine-1", leaving);
    bench.arrive(1, &quick());
    bench.refusal(1)
}

fn queued_then_all_leave() -> Refusal {
    let mut bench = Bench::new(1);
    bench.arrive(1, &quick());
    bench.arrive(2, &quick());
    bench.signal("engine-0", Signal::Leaving);
    bench.refusal(2)
}

fn customer_queue_full() -> Refusal {
    let mut bench = Bench::new(1);
    for id in 1..=4 {
        bench.arrive(id, &quick());
    }
    bench.refusal(4)
}

fn predicted_late() -> Refusal {
    let mut bench = Bench::new(1);
    bench.arrive(1, &quick());
    bench.wait(700);
    bench.end(1, 1, AttemptOutcome::Done);
    bench.arrive(2, &quick());
    bench.arrive(3, &quick());
    bench.arrive(4, &quick());
    bench.refusal(4)
}

fn deadline_passed() -> Refusal {
    let mut bench = Bench::new(1);
    bench.arrive(1, &quick());
    bench.arrive(2, &quick());
    bench.wait(800);
    bench.refusal(2)
}

fn claim_too_late() -> Refusal {
    let mut bench = Bench::new(1);
    bench.arrive(1, &once());
    bench.now += ms(900);
    bench.tell(Event::Confirm(RequestId(1)));
    bench.refusal(1)
}

fn claim_without_target() -> Refusal {
    let mut bench = Bench::new(1);
    bench.arrive(1, &once());
    bench.signal("engine-0", Signal::Leaving);
    bench.tell(Event::Confirm(RequestId(1)));
    bench.refusal(1)
}

fn never_sent() -> Refusal {
    let mut bench = Bench::new(1);
    bench.arrive(1, &once());
    for attempt in 1..=4 {
        bench.end(1, attempt, AttemptOutcome::NotSent);
        bench.signal("engine-0", Signal::Reachable);
    }
    bench.refusal(1)
}

fn refused_by_targets() -> Refusal {
    let mut bench = Bench::new(4);
    bench.arrive(1, &once());
    for attempt in 1..=3 {
        bench.end(1, attempt, AttemptOutcome::Refused { retry_after: None });
        bench.wait(170);
    }
    bench.refusal(1)
}

fn lost_once() -> Refusal {
    let mut bench = Bench::new(2);
    bench.arrive(1, &once());
    bench.end(1, 1, AttemptOutcome::Lost);
    bench.refusal(1)
}

fn wrong_weights_once() -> Refusal {
    let mut bench = Bench::new(2);
    bench.arrive(1, &once());
    bench.end(1, 1, AttemptOutcome::WrongWeights);
    bench.refusal(1)
}

fn cut_short() -> Refusal {
    let mut bench = Bench::new(2);
    bench.arrive(1, &quick());
    bench.tell(Event::FirstToken {
        id: RequestId(1),
        attempt: 1,
    });
    bench.end(1, 1, AttemptOutcome::CutShort);
    bench.refusal(1)
}

fn lost_until_deadline() -> Refusal {
    let mut bench = Bench::new(1);
    bench.arrive(1, &quick());
    bench.end(1, 1, AttemptOutcome::Lost);
    bench.wait(900);
    bench.refusal(1)
}

fn quarantined_by_peer() -> Refusal {
    let mut bench = Bench::new(2);
    bench.tell(Event::Quarantine {
        fingerprint: key(1),
        victims: vec!["x".into(), "y".into()],
        ttl: ms(5_000),
    });
    bench.arrive(1, &quick());
    bench.refusal(1)
}

fn quarantined_then_domain_lost() -> Refusal {
    let mut bench = Bench::new(4);
    let running = Arrival {
        fingerprint: key(1),
        ..arrival(7, "a", &quick())
    };
    bench.tell(Event::Arrive(running));
    bench.tell(Event::Quarantine {
        fingerprint: key(1),
        victims: vec!["engine-0".into()],
        ttl: ms(5_000),
    });
    for name in ["engine-0", "engine-1", "engine-2"] {
        bench.signal(name, Signal::Unreachable);
    }
    bench.tell(Event::Left(RequestId(7)));
    bench.arrive(1, &quick());
    bench.refusal(1)
}

fn quarantined_while_waiting() -> Refusal {
    let mut bench = Bench::new(1);
    bench.arrive(2, &quick());
    bench.arrive(1, &quick());
    bench.tell(Event::Quarantine {
        fingerprint: key(1),
        victims: vec!["x".into(), "y".into()],
        ttl: ms(5_000),
    });
    bench.refusal(1)
}

fn quarantined_after_two_deaths() -> Refusal {
    let mut bench = Bench::new(6);
    let patient = policy(PriorityClass::Patient, 60_000);
    bench.arrive(1, &patient);
    for attempt in 1..=2 {
        let target = bench.last_target();
        bench.end(1, attempt, AttemptOutcome::Lost);
        bench.signal(&target, Signal::Unreachable);
        bench.wait(300);
    }
    assert_eq!(bench.dispatches(), 2);
    bench.refusal(1)
}

fn lost_with_its_domain() -> Refusal {
    let mut bench = Bench::new(4);
    bench.arrive(1, &policy(PriorityClass::Patient, 60_000));
    let first = bench.last_target();
    bench.end(1, 1, AttemptOutcome::Lost);
    bench.signal(&first, Signal::Unreachable);
    bench.wait(300);
    let second = bench.last_target();
    let others = ["engine-0", "engine-1", "engine-2", "engine-3"].into_iter();
    for name in others.filter(|n| *n != first && *n != second) {
        bench.signal(name, Signal::Unreachable);
    }
    bench.end(1, 2, AttemptOutcome::Lost);
    bench.signal(&second, Signal::Unreachable);
    bench.wait(500);
    bench.refusal(1)
}

#[test]
fn refusals_tell_the_truth() {
    let cases: [(&str, Case); 20] = [
        ("draining", draining),
        ("unknown model", unknown_model),
        ("all targets leaving", all_leaving),
        ("queued, then all targets leave", queued_then_all_leave),
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
    let mut kinds = BTreeMap::new();
    for (name, case) in cases {
        let refusal = case();
        assert!(!refusal.retry_after().is_zero(), "{name}");
        *kinds.entry(kind(&refusal)).or_insert(0) += 1;
        writeln!(lines, "{name}: {}, {}", refusal.code(), refusal.run()).unwrap();
    }
    insta::assert_snapshot!(lines);
    assert_eq!(kinds.len(), 6, "each kind of refusal has a case: {kinds:?}");
}

/// Number of a kind; a new kind does not compile until it is listed here.
fn kind(refusal: &Refusal) -> u8 {
    match refusal {
        Refusal::Overloaded { .. } => 0,
        Refusal::DeadlineUnreachable { .. } => 1,
        Refusal::NoTarget { .. } => 2,
        Refusal::Quarantined { .. } => 3,
        Refusal::Failed { .. } => 4,
        Refusal::Draining { .. } => 5,
    }
}
