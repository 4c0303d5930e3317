//! Random events against the scheduler as the gateway uses it, without claims: a request that must
//! run once is dispatched again only after attempts that were not sent, withheld or refused.

use std::collections::{BTreeMap, BTreeSet};

use guavahold::catalog::{Policy, PriorityClass};
use guavahold::http::RunState;
use guavahold::prelude::*;
use guavahold::scheduler::{
    AttemptOutcome, Effect, Event, Refusal, RequestId, Scheduler, SchedulerSettings, Signal,
    SuspectRequest,
};

use crate::simulation::{arrival, key, ms, report, target};

const SEEDS: u64 = 300;
const STEPS: u32 = 300;
const TARGETS: u64 = 5;
const FINGERPRINTS: u64 = 30;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Once,
    Repeatable,
    Resumable,
}

#[derive(Debug)]
struct Request {
    kind: Kind,
    live: BTreeSet<u32>,
    /// Attempts that have ended, of which late news may still arrive.
    past: Vec<u32>,
    /// Whether any attempt ended other than not sent, withheld or refused.
    may_have_run: bool,
    ended: bool,
}

struct Model {
    scheduler: Scheduler,
    now: Timestamp,
    rng: fastrand::Rng,
    requests: BTreeMap<RequestId, Request>,
    /// Dispatches of requests that must run once, after the first of each.
    repeated: u32,
}

fn name(n: u64) -> Name {
    format!("engine-{n}").into()
}

/// Whether an outcome proves that the attempt did not run its request.
fn proves_not_run(outcome: &AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::NotSent | AttemptOutcome::Withheld | AttemptOutcome::Refused { .. }
    )
}

impl Model {
    fn new(seed: u64) -> Self {
        let settings = SchedulerSettings {
            hedging: seed.is_multiple_of(2),
            seed,
            ..SchedulerSettings::new("domain-0".into())
        };
        let mut model = Self {
            scheduler: Scheduler::new(settings),
            now: ms(1_000),
            rng: fastrand::Rng::with_seed(seed),
            requests: BTreeMap::new(),
            repeated: 0,
        };
        model.list(u64::MAX, 0);
        for n in 0..TARGETS {
            model.report(n, 2);
        }
        model
    }

    fn submit(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.scheduler.on(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Dispatch { id, attempt, .. } => self.check_dispatch(id, attempt),
                Effect::Refuse { id, refusal } => self.check_refusal(id, &refusal),
                Effect::Cancel { id, attempt } => self.check_cancel(id, attempt),
                Effect::Quarantine(_) | Effect::Probe { .. } => {}
            }
        }
    }

    fn check_dispatch(&mut self, id: RequestId, attempt: u32) {
        let request = self.requests.get_mut(&id).unwrap();
        assert!(!request.ended, "{id:?} dispatched after its end");
        if request.kind == Kind::Once {
            assert!(request.live.is_empty(), "{id:?} has two attempts at once");
            assert!(!request.may_have_run, "{id:?} may run twice");
            self.repeated += u32::from(!request.past.is_empty());
        }
        assert!(request.live.insert(attempt), "attempt dispatched twice");
    }

    fn check_refusal(&mut self, id: RequestId, refusal: &Refusal) {
        let request = self.requests.get_mut(&id).unwrap();
        assert!(!request.ended && request.live.is_empty(), "{request:?}");
        let promises = refusal.run() == RunState::NotRun;
        assert_eq!(promises, !request.may_have_run, "{refusal:?}");
        request.ended = true;
    }

    fn check_cancel(&mut self, id: RequestId, attempt: u32) {
        let request = self.requests.get_mut(&id).unwrap();
        assert_ne!(request.kind, Kind::Once, "{id:?} was cancelled");
        request.may_have_run = true;
        request.past.push(attempt);
        assert!(request.live.remove(&attempt), "cancelled twice");
    }

    fn list(&mut self, present: u64, leaving: u64) {
        let listed = (0..TARGETS).filter(|n| present & (1 << n) != 0);
        let info = |n| {
            let mut info = target(&name(n), if n < 3 { "domain-0" } else { "domain-1" });
            info.leaving = leaving & (1 << n) != 0;
            info
        };
        let list = listed.map(info).collect();
        self.submit(Event::Targets(list));
    }

    fn report(&mut self, n: u64, slots: u32) {
        let (target, report) = (name(n), report(slots));
        self.submit(Event::Report { target, report });
    }

    fn arrive(&mut self) {
        let id = RequestId(self.requests.len() as u64 + 1);
        let kinds = [Kind::Once, Kind::Once, Kind::Repeatable, Kind::Resumable];
        let kind = kinds[self.rng.usize(..kinds.len())];
        let policy = Policy {
            class: PriorityClass::Standard,
            first_token_ms: self.rng.u64(300..6_000),
            idempotent: kind != Kind::Once,
            ..Policy::default()
        };
        let mut req = arrival(id.0, "a", &Arc::new(policy));
        req.fingerprint = key(self.rng.u64(..FINGERPRINTS));
        req.resumable = kind == Kind::Resumable;
        req.max_attempts = self.rng.u32(0..4);
        let request = Request {
            kind,
            live: BTreeSet::new(),
            past: Vec::new(),
            may_have_run: false,
            ended: false,
        };
        self.requests.insert(id, request);
        self.submit(Event::Arrive(req));
    }

    /// An attempt that runs, or one that has ended.
    fn pick(&mut self, live: bool) -> Option<(RequestId, u32)> {
        let of = |r: &Request| -> Vec<u32> {
            if live {
                r.live.iter().copied().collect()
            } else {
                r.past.clone()
            }
        };
        let open = self.requests.iter().filter(|(_, r)| !live || !r.ended);
        let attempts: Vec<_> = open
            .flat_map(|(id, r)| of(r).into_iter().map(|a| (*id, a)))
            .collect();
        (!attempts.is_empty()).then(|| attempts[self.rng.usize(..attempts.len())])
    }

    fn outcome(&mut self) -> AttemptOutcome {
        let retry_after = self.rng.bool().then(|| ms(200));
        match self.rng.u8(..14) {
            0..3 => AttemptOutcome::NotSent,
            3..5 => AttemptOutcome::Withheld,
            5..7 => AttemptOutcome::Refused { retry_after },
            7 => AttemptOutcome::WrongWeights,
            8 => AttemptOutcome::Lost,
            9 => AttemptOutcome::PathLost,
            10 => AttemptOutcome::CutShort,
            11 => AttemptOutcome::TargetError,
            12 => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::Done,
        }
    }

    fn end(&mut self, id: RequestId, attempt: u32) {
        let outcome = self.outcome();
        let request = self.requests.get_mut(&id).unwrap();
        request.live.remove(&attempt);
        request.past.push(attempt);
        request.may_have_run |= !proves_not_run(&outcome);
        let done = outcome == AttemptOutcome::Done;
        let cancelled = outcome == AttemptOutcome::Cancelled;
        request.ended |= done || (cancelled && request.live.is_empty());
        if done {
            request.past.extend(std::mem::take(&mut request.live));
        }
        self.submit(Event::AttemptEnded {
            id,
            attempt,
            outcome,
        });
    }

    /// News of an attempt that the scheduler has already ended, as when both happen at once.
    fn late_news(&mut self) {
        let Some((id, attempt)) = self.pick(false) else {
            return;
        };
        let outcome = self.outcome();
        let event = if self.rng.bool() {
            Event::FirstToken { id, attempt }
        } else {
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
            }
        };
        self.submit(event);
    }

    fn signal(&mut self) {
        let signal = match self.rng.u8(..14) {
            0 => Signal::Leaving,
            1 | 2 => Signal::Unreachable,
            3 => Signal::OutOfReach,
            4 => Signal::Silent,
            5 => Signal::ReportedUnreachable,
            6 => Signal::Pause(ms(self.rng.u64(..800))),
            7 => Signal::MayHaveRestarted,
            8 => Signal::Cold(ms(self.rng.u64(..800))),
            _ => Signal::Reachable,
        };
        let target = name(self.rng.u64(..TARGETS));
        self.submit(Event::Signal { target, signal });
    }

    fn quarantine(&mut self) {
        let event = Event::Quarantine(SuspectRequest::new(
            key(self.rng.u64(..FINGERPRINTS)),
            (0..=self.rng.u64(..2)).map(name).collect(),
            ms(self.rng.u64(..3) * 1_000),
        ));
        self.submit(event);
    }

    fn evacuate(&mut self) {
        let domains = (0..2).filter(|_| self.rng.u8(..3) == 0);
        let domains = domains.map(|n| format!("domain-{n}").into()).collect();
        self.submit(Event::Evacuations(domains));
    }

    fn step(&mut self) {
        match self.rng.u8(..60) {
            0..16 => {
                self.now += ms(self.rng.u64(1..300));
                self.submit(Event::Tick);
            }
            16..28 => self.arrive(),
            28..32 => {
                if let Some((id, attempt)) = self.pick(true) {
                    self.requests.get_mut(&id).unwrap().may_have_run = true;
                    self.submit(Event::FirstToken { id, attempt });
                }
            }
            32..44 => {
                if let Some((id, attempt)) = self.pick(true) {
                    self.end(id, attempt);
                }
            }
            44..47 => self.late_news(),
            47 => {
                if let Some((id, _)) = self.pick(true) {
                    let request = self.requests.get_mut(&id).unwrap();
                    request.ended = true;
                    self.submit(Event::CallerLeft(id));
                }
            }
            48 => {
                let (present, leaving) = (self.rng.u64(..), self.rng.u64(..));
                let also = self.rng.u64(..);
                self.list(present | 3, leaving & also);
            }
            49..51 => {
                let (n, slots) = (self.rng.u64(..TARGETS), self.rng.u32(1..4));
                self.report(n, slots);
            }
            51..56 => self.signal(),
            56 => {
                let entries = self.rng.u32(..4);
                self.submit(Event::EntryCount(entries));
            }
            57 => self.quarantine(),
            58 => self.evacuate(),
            _ => {
                self.now += ms(self.rng.u64(300..6_000));
                self.submit(Event::Tick);
            }
        }
        assert_eq!(self.scheduler.broken_invariants(), 0);
    }
}

/// Guards against a second run after an attempt that a target may have run, and a refusal that
/// says that such a request has not run.
#[test]
fn run_once_request_is_dispatched_again_only_after_proof() {
    let mut repeated = 0;
    for seed in 0..SEEDS {
        println!("seed {seed}");
        let mut model = Model::new(seed);
        for _ in 0..STEPS {
            model.step();
        }
        repeated += model.repeated;
    }
    println!("{repeated} dispatches after an earlier attempt");
    assert!(repeated > 100, "only {repeated} dispatches were repeated");
}
