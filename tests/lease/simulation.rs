//! Simulation of candidates that compete for one lease, with a store that can be restored from a copy.

use std::collections::BTreeMap;

use guavahold::lease::{LeaseEffect, LeaseEvent, LeaseObject, LeaseSettings, LeaseStateMachine};
use guavahold::platform::{StoreRevision, Version};
use guavahold::prelude::*;

pub const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Candidates that compete at the same time.
const CANDIDATES: usize = 3;
/// Greatest age of a copy from which the store is restored.
const COPY_AGE: Duration = Duration::from_secs(8);

pub fn settings(n: usize) -> LeaseSettings {
    LeaseSettings {
        holder: format!("entry-{n}").into(),
        duration: LEASE_DURATION,
        takeover_margin: Duration::from_secs(1),
    }
}

/// Copy of the store from which it may be restored.
#[derive(Clone)]
pub struct StoreCopy {
    at: Timestamp,
    version: u64,
    object: Option<LeaseObject>,
}

/// Simulation of candidates that compete for one lease object.
pub struct Simulation {
    pub now: Timestamp,
    /// Era of the store; zero if it states none.
    pub era: u64,
    version: u64,
    object: Option<LeaseObject>,
    /// Copies of the store from the last few seconds.
    pub copies: Vec<StoreCopy>,
    /// Candidates, those that have ended included.
    pub machines: Vec<LeaseStateMachine>,
    /// Indexes of the candidates that have not ended.
    running: Vec<usize>,
    /// Calls that the platform has not executed yet, with the index of the candidate.
    pub calls: Vec<(usize, LeaseEffect)>,
    /// Answers that have not reached their candidate yet, with the era in which they were given.
    answers: Vec<(usize, u64, LeaseEvent)>,
    /// Candidate that held the lease under each fencing token.
    pub holders: BTreeMap<u64, usize>,
    /// Newest era that each candidate has seen.
    known_eras: Vec<u64>,
    pub greatest_fencing: u64,
    /// Candidate that used the lease last, and when.
    last_use: Option<(usize, Timestamp)>,
    /// Whether the lease had been released when it was acquired last, other than in a copy.
    acquired_released: bool,
    /// Version of the object if it comes from a copy and was not written since.
    copied_version: Option<u64>,
}

impl Simulation {
    pub fn new() -> Self {
        Self {
            now: Timestamp::ZERO,
            era: 0,
            version: 0,
            object: None,
            copies: Vec::new(),
            machines: (0..CANDIDATES)
                .map(|n| LeaseStateMachine::new(settings(n)))
                .collect(),
            running: (0..CANDIDATES).collect(),
            calls: Vec::new(),
            answers: Vec::new(),
            holders: BTreeMap::new(),
            known_eras: vec![0; CANDIDATES],
            greatest_fencing: 0,
            last_use: None,
            acquired_released: false,
            copied_version: None,
        }
    }

    /// Time on a candidate's own clock: origins differ, and rates differ by up to 2%.
    pub fn clock(&self, n: usize) -> Timestamp {
        let n = u32::try_from(n % CANDIDATES).unwrap();
        Duration::from_secs(1_000) * n + self.now + self.now * n / 100
    }

    pub fn on(&mut self, n: usize, event: LeaseEvent) {
        let (now, mut effects) = (self.clock(n), Vec::new());
        self.machines[n].on(now, event, &mut effects);
        self.calls.extend(effects.into_iter().map(|e| (n, e)));
    }

    /// Executes a call; `answered` is false if its answer is lost.
    pub fn execute(&mut self, call: usize, answered: bool) {
        let (n, effect) = self.calls.remove(call);
        let event = match effect {
            LeaseEffect::Read => LeaseEvent::ObjectRead(self.object.clone()),
            LeaseEffect::Write { version, record } => {
                // The store compares revisions without their eras; its client knows better.
                let number = |v: &Version| StoreRevision::of(v).number();
                let stored = self.object.as_ref().map(|o| number(&o.version));
                let former = version.as_ref().map(|v| StoreRevision::of(v).era());
                if stored == version.as_ref().map(number) {
                    let is_copy = self.copied_version == Some(self.version);
                    self.version += 1;
                    if let Some(old) = self.object.as_ref().and_then(|o| o.record.as_ref())
                        && old.fencing != record.fencing
                    {
                        self.acquired_released = old.release.is_some() && !is_copy;
                    }
                    let version = StoreRevision::new(self.era, self.version).to_version();
                    self.object = Some(LeaseObject {
                        version: version.clone(),
                        record: Some(record),
                    });
                    if former.is_none_or(|era| era == self.era) {
                        LeaseEvent::Written(version)
                    } else {
                        LeaseEvent::Conflict
                    }
                } else {
                    LeaseEvent::Conflict
                }
            }
        };
        let lost = LeaseEvent::Unanswered;
        let event = if answered { event } else { lost };
        self.answers.push((n, self.era, event));
    }

    /// Tells a candidate the era of the store.
    pub fn observe_era(&mut self, n: usize, era: u64) {
        let now = self.clock(n);
        self.known_eras[n] = self.known_eras[n].max(era);
        self.machines[n].observe_era(now, era);
    }

    /// Keeps a copy of the store, of which the store may be restored for some seconds.
    pub fn copy_store(&mut self) {
        let now = self.now;
        self.copies.retain(|copy| now < copy.at + COPY_AGE);
        self.copies.push(StoreCopy {
            at: now,
            version: self.version,
            object: self.object.clone(),
        });
    }

    /// Restores the store from a copy.
    pub fn restore(&mut self, copy: usize) {
        let StoreCopy {
            version, object, ..
        } = self.copies[copy].clone();
        self.era += 1;
        self.version = version;
        self.copied_version = Some(version);
        // The store states revisions without an era.
        self.object = object.map(|object| {
            let number = StoreRevision::of(&object.version).number();
            LeaseObject {
                version: StoreRevision::new(self.era, number).to_version(),
                ..object
            }
        });
        self.copies.clear();
    }

    /// Lets another writer overwrite the object with something that is no record.
    pub fn overwrite(&mut self) {
        self.version += 1;
        self.acquired_released = false;
        self.object = Some(LeaseObject {
            version: StoreRevision::new(self.era, self.version).to_version(),
            record: None,
        });
    }

    /// Executes the only call and delivers its answer.
    pub fn execute_and_deliver(&mut self) {
        self.execute(0, true);
        self.deliver(0);
    }

    pub fn deliver(&mut self, answer: usize) {
        let (n, era, event) = self.answers.remove(answer);
        let known = self.known_eras[n];
        self.observe_era(n, era);
        // Unanswered calls tell no era, and the client discards answers of former ones.
        let late = era < known;
        self.on(n, if late { LeaseEvent::Unanswered } else { event });
    }

    /// Makes one random step: a candidate acts, the store executes a call, an answer arrives, or
    /// time passes.
    pub fn step(&mut self, rng: &mut fastrand::Rng, choice: u8) {
        match choice {
            0..4 => {
                let n = self.running[rng.usize(..CANDIDATES)];
                self.on(n, LeaseEvent::Tick);
            }
            4..6 if !self.calls.is_empty() => {
                let call = rng.usize(..self.calls.len());
                self.execute(call, rng.u8(..5) > 0);
            }
            4..8 if !self.answers.is_empty() => {
                let answer = rng.usize(..self.answers.len());
                self.deliver(answer);
            }
            8 => self.now += Duration::from_millis(rng.u64(..2_000)),
            _ => self.now += Duration::from_millis(rng.u64(..200)),
        }
    }

    /// Lets a candidate give the lease back; one that has done so ends, and another starts.
    pub fn release(&mut self, rng: &mut fastrand::Rng) {
        let place = rng.usize(..CANDIDATES);
        let n = self.running[place];
        let now = self.clock(n);
        if !self.machines[n].is_released(now) {
            self.machines[n].begin_release(now);
            return;
        }
        self.running[place] = self.machines.len();
        self.machines
            .push(LeaseStateMachine::new(settings(self.machines.len())));
        self.known_eras.push(0);
    }

    /// Candidate that holds the lease.
    pub fn holder(&self) -> Option<usize> {
        let mut running = self.running.iter();
        let holder = running.find(|n| self.machines[**n].held(self.clock(**n)).is_some());
        holder.copied()
    }

    /// Uses the lease, and checks that no other candidate has used it just before.
    pub fn use_lease(&mut self, n: usize) {
        let takeover_margin = settings(n).takeover_margin;
        if let Some((last, at)) = self.last_use.filter(|(last, _)| *last != n) {
            let unused = self.now.saturating_sub(at);
            // Clocks differ by 2%, both while the lease was idle and while its new holder waits.
            let least = if self.acquired_released {
                (LEASE_DURATION + takeover_margin).mul_f64(0.95)
            } else {
                takeover_margin.mul_f64(0.8)
            };
            assert!(
                unused >= least,
                "{n} uses the lease {unused:?} after {last}"
            );
        }
        self.last_use = Some((n, self.now));
        let now = self.clock(n);
        self.machines[n].record_use(now);
    }

    /// Checks that at most one candidate holds the lease, that no two candidates use the same
    /// fencing token, and that tokens never decrease.
    pub fn check(&mut self) {
        let held = (0..self.machines.len())
            .filter_map(|n| Some((n, self.machines[n].held(self.clock(n))?)));
        let held: Vec<_> = held.collect();
        assert!(held.len() <= 1, "two holders: {held:?}");
        for (n, lease) in held {
            let holder = *self.holders.entry(lease.fencing).or_insert(n);
            assert_eq!(holder, n, "two holders with the same fencing token");
            assert!(
                lease.fencing >= self.greatest_fencing,
                "fencing token decreased"
            );
            self.greatest_fencing = lease.fencing;
        }
    }
}
