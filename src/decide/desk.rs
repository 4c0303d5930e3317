//! The desk: admission, placement and retries of one entry.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::decide::{
    Arrival, AttemptOutcome, Effect, Event, Refusal, RequestId, Signal, TargetInfo,
};
use crate::http::RunState;
use crate::prelude::*;
use crate::target::LoadReport;

/// Settings of a [`Desk`].
#[derive(Clone, Debug)]
pub struct DeskSettings {
    /// Own failure domain.
    pub domain: Name,
    /// Seed of the desk's random choices.
    pub seed: u64,
    /// Attempts of one request at most.
    pub attempts: u32,
    /// Requests waiting at most.
    pub queue: usize,
}

impl DeskSettings {
    /// Makes settings with defaults for everything but the domain.
    #[must_use]
    pub fn new(domain: Name) -> Self {
        Self {
            domain,
            seed: 0,
            attempts: 3,
            queue: 4096,
        }
    }
}

#[derive(Debug)]
struct Target {
    info: TargetInfo,
    report: LoadReport,
    signalled: bool,
    in_flight: u32,
}

impl Target {
    fn takes_work(&self) -> bool {
        !self.info.leaving && !self.signalled && !self.report.leaving
    }

    fn has_slot(&self) -> bool {
        self.in_flight < self.report.slots.max(1)
    }
}

#[derive(Debug)]
struct Running {
    arrival: Arrival,
    arrived: Stamp,
    attempt: u32,
    target: Option<Name>,
    answered: bool,
    run: RunState,
}

/// Admission, placement and retries of one entry, as a state machine.
#[derive(Debug)]
pub struct Desk {
    cfg: DeskSettings,
    targets: BTreeMap<Name, Target>,
    requests: HashMap<RequestId, Running>,
    queue: VecDeque<RequestId>,
    draining: bool,
}

impl Desk {
    /// Makes a desk without targets.
    #[must_use]
    pub fn new(cfg: DeskSettings) -> Self {
        Self {
            cfg,
            targets: BTreeMap::new(),
            requests: HashMap::new(),
            queue: VecDeque::new(),
            draining: false,
        }
    }

    /// Reacts to one event.
    pub fn on(&mut self, now: Stamp, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival, effects),
            Event::Left(id) => self.forget(id),
            Event::Confirm(id) => self.confirm(id, effects),
            Event::FirstToken { id, .. } => {
                if let Some(running) = self.requests.get_mut(&id) {
                    running.answered = true;
                }
            }
            Event::Ended { id, outcome, .. } => self.ended(id, &outcome, effects),
            Event::Targets(list) => self.take_list(list),
            Event::Report { target, report } => {
                if let Some(target) = self.targets.get_mut(&target) {
                    target.report = report;
                }
            }
            Event::Signal { target, signal } => {
                if let Some(target) = self.targets.get_mut(&target) {
                    target.signalled = signal != Signal::Reachable;
                }
            }
            Event::Drain => self.draining = true,
            Event::Catalog(_) | Event::Entries(_) | Event::Quarantine { .. } | Event::Tick => {}
        }
        self.serve_queue(now, effects);
    }

    fn take_list(&mut self, list: Vec<TargetInfo>) {
        let mut old = std::mem::take(&mut self.targets);
        for info in list {
            let known = old.remove(&info.name);
            let target = match known {
                Some(known) => Target { info, ..known },
                None => Target {
                    info,
                    report: LoadReport::default(),
                    signalled: false,
                    in_flight: 0,
                },
            };
            self.targets.insert(target.info.name.clone(), target);
        }
    }

    fn arrive(&mut self, now: Stamp, arrival: Arrival, effects: &mut Vec<Effect>) {
        let id = arrival.id;
        let retry_after = Duration::from_secs(1);
        if self.draining {
            let refusal = Refusal::Draining { retry_after };
            effects.push(Effect::Refuse { id, refusal });
            return;
        }
        if self.queue.len() >= self.cfg.queue {
            let refusal = Refusal::Overloaded { retry_after };
            effects.push(Effect::Refuse { id, refusal });
            return;
        }
        let running = Running {
            arrival,
            arrived: now,
            attempt: 0,
            target: None,
            answered: false,
            run: RunState::NotRun,
        };
        self.requests.insert(id, running);
        self.queue.push_back(id);
    }

    fn serve_queue(&mut self, now: Stamp, effects: &mut Vec<Effect>) {
        let waiting = std::mem::take(&mut self.queue);
        for id in waiting {
            self.place(now, id, effects);
        }
    }

    fn place(&mut self, now: Stamp, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(running) = self.requests.get_mut(&id) else {
            return;
        };
        let choice = running.arrival.weights.iter().find_map(|weights| {
            choose(&self.targets, &running.arrival, weights).map(|t| (t, weights.clone()))
        });
        let choice = choice.or_else(|| {
            let plain = running.arrival.weights.is_empty();
            let target = plain.then(|| choose(&self.targets, &running.arrival, ""));
            target.flatten().map(|t| (t, Name::from("")))
        });
        if let Some((name, weights)) = choice {
            running.attempt += 1;
            running.target = Some(name.clone());
            let attempt = running.attempt;
            if let Some(target) = self.targets.get_mut(&name) {
                assert!(target.takes_work(), "placed on a target that takes no work");
                target.in_flight += 1;
                effects.push(Effect::Dispatch {
                    id,
                    attempt,
                    address: target.info.address,
                    target: name,
                    weights,
                    hedge: false,
                });
            }
            return;
        }
        let deadline = running.arrived + running.arrival.policy.first_token();
        if now >= deadline {
            let retry_after = Duration::from_secs(1);
            let refusal = Refusal::DeadlineUnreachable { retry_after };
            effects.push(Effect::Refuse { id, refusal });
            self.requests.remove(&id);
        } else {
            self.queue.push_back(id);
        }
    }

    fn confirm(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(running) = self.requests.get(&id) else {
            return;
        };
        let usable = running
            .target
            .as_ref()
            .and_then(|name| self.targets.get(name))
            .filter(|t| t.takes_work());
        if let Some(target) = usable {
            effects.push(Effect::Dispatch {
                id,
                attempt: running.attempt,
                target: target.info.name.clone(),
                address: target.info.address,
                weights: running.arrival.weights.first().cloned().unwrap_or_default(),
                hedge: false,
            });
        } else {
            self.free_slot(id);
            self.queue.push_back(id);
        }
    }

    fn free_slot(&mut self, id: RequestId) {
        let name = self.requests.get_mut(&id).and_then(|r| r.target.take());
        if let Some(target) = name.and_then(|n| self.targets.get_mut(&n)) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }

    fn forget(&mut self, id: RequestId) {
        self.free_slot(id);
        self.requests.remove(&id);
    }

    fn ended(&mut self, id: RequestId, outcome: &AttemptOutcome, effects: &mut Vec<Effect>) {
        self.free_slot(id);
        let attempts = self.cfg.attempts;
        let Some(running) = self.requests.get_mut(&id) else {
            return;
        };
        if matches!(outcome, AttemptOutcome::Done | AttemptOutcome::Cancelled) {
            self.requests.remove(&id);
            return;
        }
        let proved = matches!(
            outcome,
            AttemptOutcome::NotSent | AttemptOutcome::Refused { .. }
        );
        if !proved {
            running.run = RunState::Unknown;
        }
        let repeatable = proved || running.arrival.policy.idempotent;
        if repeatable && !running.answered && running.attempt < attempts {
            self.queue.push_back(id);
            return;
        }
        let refusal = Refusal::Failed {
            run: running.run,
            retry_after: Duration::from_secs(1),
        };
        effects.push(Effect::Refuse { id, refusal });
        self.requests.remove(&id);
    }
}

/// Chooses the target of highest rendezvous weight that has a slot.
fn choose(targets: &BTreeMap<Name, Target>, arrival: &Arrival, weights: &str) -> Option<Name> {
    let ready = targets.values().filter(|t| {
        t.info.serves == arrival.serves
            && t.takes_work()
            && t.has_slot()
            && (weights.is_empty() || t.report.weights.iter().any(|w| &**w == weights))
    });
    let best = ready.max_by_key(|t| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(arrival.affinity.as_bytes());
        hasher.update(t.info.name.as_bytes());
        *hasher.finalize().as_bytes()
    });
    best.map(|t| t.info.name.clone())
}
