//! A scheduler whose effects are checked after each event.

#[path = "checks.rs"]
mod checks;

use std::collections::{BTreeMap, BTreeSet};

use guavahold::catalog::{Policy, PriorityClass};
use guavahold::prelude::*;
use guavahold::scheduler::{
    AttemptOutcome, Event, RequestId, Scheduler, SchedulerSettings, Signal, SuspectRequest,
};

use super::step::{Step, TARGETS};
use crate::simulation::{arrival, key, ms, report, target};

/// Retries and hedges allowed at the start, and for each success.
const RETRY_BUDGET: (f64, f64) = (2.0, 0.08);

#[derive(Debug, Default)]
struct Caller {
    must_run_once: bool,
    fingerprint: u64,
    /// Live attempts and their targets.
    live: BTreeMap<u32, Name>,
    /// Whether the live attempt may have been sent; for a request that must run once, only after its
    /// claim is confirmed.
    confirmed: bool,
    dispatches: u32,
    unsent: u32,
    /// Attempts whose request a target received.
    received: u32,
    ended: bool,
}

#[derive(Debug)]
pub struct CheckedScheduler {
    scheduler: Scheduler,
    now: Timestamp,
    next_id: u64,
    callers: BTreeMap<RequestId, Caller>,
    listed: BTreeMap<Name, bool>,
    /// Targets that announced that they are leaving.
    leaving: BTreeSet<Name>,
    unreachable: BTreeSet<Name>,
    evacuated: BTreeSet<Name>,
    quarantined: BTreeMap<u64, Timestamp>,
    done: u32,
}

fn name(n: u8) -> Name {
    format!("engine-{n}").into()
}

fn domain(n: u8) -> &'static str {
    if n < 3 { "domain-0" } else { "domain-1" }
}

fn policies() -> [Arc<Policy>; 4] {
    let make = |class, first_token_ms, idempotent| {
        Arc::new(Policy {
            class,
            first_token_ms,
            idempotent,
            ..Policy::default()
        })
    };
    [
        make(PriorityClass::Interactive, 800, true),
        make(PriorityClass::Standard, 3_000, true),
        make(PriorityClass::Patient, 20_000, true),
        make(PriorityClass::Interactive, 2_000, false),
    ]
}

impl CheckedScheduler {
    pub fn new() -> Self {
        let mut cfg = SchedulerSettings::new("domain-0".into());
        cfg.max_queued_per_customer = 8;
        cfg.max_queued = 16;
        let mut checked = Self {
            scheduler: Scheduler::new(cfg),
            now: ms(1_000),
            next_id: 0,
            callers: BTreeMap::new(),
            listed: BTreeMap::new(),
            leaving: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            quarantined: BTreeMap::new(),
            done: 0,
        };
        checked.list(u8::MAX, 0);
        for n in 0..TARGETS {
            checked.submit(Event::Report {
                target: name(n),
                report: report(2),
            });
        }
        checked
    }

    fn list(&mut self, present: u8, leaving: u8) {
        let mut list = Vec::new();
        for n in (0..TARGETS).filter(|n| present & (1 << n) != 0) {
            let mut info = target(&name(n), domain(n));
            info.leaving = leaving & (1 << n) != 0;
            list.push(info);
        }
        self.listed = list.iter().map(|t| (t.name.clone(), t.leaving)).collect();
        let listed = &self.listed;
        self.leaving.retain(|name| listed.contains_key(name));
        self.unreachable.retain(|name| listed.contains_key(name));
        self.submit(Event::Targets(list));
    }

    fn submit(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.scheduler.on(self.now, event, &mut effects);
        for effect in effects {
            self.check_effect(effect);
        }
        assert_eq!(self.scheduler.broken_invariants(), 0);
        self.check_budget();
        self.check_slots();
    }

    fn pick(&self, n: u8, claimed: bool) -> Option<(RequestId, u32)> {
        let live = self.callers.iter().filter(|(_, c)| !c.ended);
        let live = live.filter(|(_, c)| c.confirmed != claimed);
        let live: Vec<_> = live
            .flat_map(|(id, c)| c.live.keys().map(|a| (*id, *a)))
            .collect();
        (!live.is_empty()).then(|| live[usize::from(n) % live.len()])
    }

    fn end(&mut self, id: RequestId, attempt: u32, outcome: AttemptOutcome) {
        let caller = self.callers.get_mut(&id).unwrap();
        let target = caller.live.remove(&attempt).unwrap();
        match outcome {
            AttemptOutcome::NotSent => caller.unsent += 1,
            AttemptOutcome::Refused { .. } => {}
            _ => caller.received += 1,
        }
        let ended = matches!(outcome, AttemptOutcome::Done)
            || (outcome == AttemptOutcome::Cancelled && caller.live.is_empty());
        if ended {
            caller.ended = true;
            caller.live.clear();
        }
        self.done += u32::from(outcome == AttemptOutcome::Done);
        if outcome == AttemptOutcome::NotSent {
            self.submit(Event::AttemptEnded {
                id,
                attempt,
                outcome,
            });
            // The program reports that the probe succeeded.
            self.signal(target, Signal::Reachable);
        } else {
            self.submit(Event::AttemptEnded {
                id,
                attempt,
                outcome,
            });
        }
    }

    fn signal(&mut self, target: Name, signal: Signal) {
        if self.listed.contains_key(&target) {
            match signal {
                Signal::Leaving => self.leaving.insert(target.clone()),
                Signal::Unreachable | Signal::OutOfReach => self.unreachable.insert(target.clone()),
                Signal::Reachable => self.unreachable.remove(&target),
                Signal::ReportedUnreachable
                | Signal::Silent
                | Signal::Pause(_)
                | Signal::MayHaveRestarted
                | Signal::Cold(_) => false,
            };
        }
        self.submit(Event::Signal { target, signal });
    }

    fn arrive(&mut self, customer: u8, policy_ix: u8, fingerprint: u8, long: bool) {
        self.next_id += 1;
        let policy = &policies()[usize::from(policy_ix)];
        let mut req = arrival(self.next_id, ["a", "b", "c"][usize::from(customer)], policy);
        req.fingerprint = key(u64::from(fingerprint));
        req.affinity = key(u64::from(fingerprint / 4));
        req.prompt_tokens = if long { 5_000 } else { 100 };
        let caller = Caller {
            must_run_once: !policy.idempotent,
            confirmed: policy.idempotent,
            fingerprint: u64::from(fingerprint),
            ..Caller::default()
        };
        self.callers.insert(req.id, caller);
        self.submit(Event::Arrive(req));
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Advance(time) => {
                self.now += ms(time);
                self.submit(Event::Tick);
            }
            Step::Arrive {
                customer,
                policy_ix,
                fingerprint,
                long,
            } => self.arrive(customer, policy_ix, fingerprint, long),
            Step::Confirm(n) => {
                if let Some((id, _)) = self.pick(n, true) {
                    self.submit(Event::Confirm(id));
                    let caller = self.callers.get_mut(&id).unwrap();
                    assert!(
                        caller.ended || !caller.live.is_empty(),
                        "a confirmed claim was neither dispatched nor refused"
                    );
                    caller.confirmed = true;
                }
            }
            Step::FirstToken(n) => {
                if let Some((id, attempt)) = self.pick(n, false) {
                    self.callers.get_mut(&id).unwrap().received += 1;
                    self.submit(Event::FirstToken { id, attempt });
                }
            }
            Step::End(n, outcome) => {
                if let Some((id, attempt)) = self.pick(n, false) {
                    self.end(id, attempt, outcome);
                }
            }
            Step::CallerLeft(n) => {
                if let Some((id, _)) = self.pick(n, false) {
                    self.callers.get_mut(&id).unwrap().ended = true;
                    self.submit(Event::CallerLeft(id));
                }
            }
            Step::List { present, leaving } => self.list(present, leaving),
            Step::Report { target, report } => {
                let target = name(target);
                if report.leaving && self.listed.contains_key(&target) {
                    self.leaving.insert(target.clone());
                }
                self.submit(Event::Report { target, report });
            }
            Step::Signal(target, signal) => self.signal(name(target), signal),
            Step::EntryCount(n) => self.submit(Event::EntryCount(n)),
            // The third domain has no targets.
            Step::Evacuate(domains) => {
                let all = (0..3).filter(|n| domains & (1 << n) != 0);
                self.evacuated = all.map(|n| format!("domain-{n}").into()).collect();
                self.submit(Event::Evacuations(self.evacuated.clone()));
            }
            Step::Quarantine {
                fingerprint,
                victims,
                ttl,
            } => self.peer_quarantine(fingerprint, victims, ttl),
            Step::Drain => self.submit(Event::Drain),
        }
    }

    fn peer_quarantine(&mut self, fingerprint: u8, victims: u8, ttl: u64) {
        let victims: Vec<Name> = (0..=victims % 2).map(name).collect();
        let ttl = ms(ttl * 1_000);
        let n = u64::from(fingerprint);
        if !ttl.is_zero() {
            let until = self.quarantined.entry(n).or_default();
            *until = (*until).max(self.now + ttl);
        }
        self.submit(Event::Quarantine(SuspectRequest::new(key(n), victims, ttl)));
    }

    /// Lets all requests end, and checks that the scheduler holds no request or slot.
    pub fn finish(mut self) {
        for _ in 0..400 {
            self.now += ms(100);
            self.submit(Event::Tick);
            while let Some((id, _)) = self.pick(0, true) {
                self.submit(Event::Confirm(id));
                self.callers.get_mut(&id).unwrap().confirmed = true;
            }
            while let Some((id, attempt)) = self.pick(0, false) {
                self.end(id, attempt, AttemptOutcome::Done);
            }
        }
        assert!(
            self.callers.values().all(|c| c.ended),
            "no end: {:?}",
            self.callers
        );
        assert_eq!(
            (self.scheduler.request_count(), self.scheduler.queued()),
            (0, 0)
        );
        for target in self.listed.keys() {
            assert_eq!(self.scheduler.in_flight(target), Some(0));
        }
    }
}
