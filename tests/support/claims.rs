//! A world of entries that claim keys of one window: stale copies, late and lost writes, skewed
//! clocks, pauses, deaths, changed retentions and collection.

use std::collections::BTreeMap;

use guavahold::claim::{
    Claim, ClaimKey, ClaimOp, ClaimOutcome, ClaimRequest, ClaimVerdict, Holder, OpResult,
    ShardState, Window,
};
use guavahold::prelude::*;
use serde::{Deserialize, Serialize};

pub const ENTRIES: usize = 3;
pub const KEYS: usize = 2;
/// Indices of steps from here on count from the newest.
pub const FROM_END: usize = 1_000;
/// Largest difference between two entries' clocks, in milliseconds.
const SKEW_MS: u64 = 2_000;

/// Length of a run, short and longer than an object is kept.
const TOTALS: [Duration; 2] = [Duration::from_secs(20), Duration::from_hours(2)];

/// Something that happens.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// An entry decides about a claim on its copy, which is read anew when `fresh`.
    Claim {
        entry: usize,
        key: usize,
        fresh: bool,
        long: bool,
    },
    /// A write reaches the platform; its answer may be lost.
    Land {
        write: usize,
        answered: bool,
    },
    /// An entry reads back a write whose answer was lost.
    ReadBack {
        write: usize,
    },
    Dispatch {
        claim: usize,
    },
    Settle {
        claim: usize,
    },
    Release {
        claim: usize,
    },
    /// An entry dies and is replaced.
    Kill {
        entry: usize,
    },
    /// The links of an entry are lost or come back.
    Cut {
        entry: usize,
    },
    Collect {
        entry: usize,
    },
    Retention {
        seconds: u64,
    },
    Pass {
        ms: u64,
    },
}

/// A write on its way to the platform.
#[derive(Clone, Debug)]
struct Write {
    entry: usize,
    alive: bool,
    landed: bool,
    version: Option<u64>,
    state: ShardState,
    attempt: Option<(Name, ClaimRequest, u64)>,
}

#[derive(Clone, Debug)]
struct Granted {
    entry: usize,
    claim: Claim,
    key: usize,
    started_ms: u64,
    total: Duration,
    dispatched: bool,
}

/// The platform's object and the entries around it.
#[derive(Debug)]
pub struct World {
    now_ms: u64,
    window: Window,
    keys: Vec<ClaimKey>,
    retention: Duration,
    version: u64,
    object: Option<(u64, ShardState)>,
    copies: Vec<Option<(u64, ShardState)>>,
    writes: Vec<Write>,
    granted: Vec<Granted>,
    claimants: u64,
    boots: [u64; ENTRIES],
    cut: [bool; ENTRIES],
    runs: BTreeMap<usize, u32>,
    outcomes: BTreeMap<usize, ClaimOutcome>,
    told: Option<String>,
}

impl World {
    /// Makes a world without claims.
    pub fn new() -> Self {
        let start_ms = 1_700_000_000_000;
        let keys: Vec<_> = (0..KEYS as u128).map(|n| key(start_ms, n)).collect();
        Self {
            now_ms: start_ms,
            window: Window::of(&keys[0], 1).unwrap(),
            keys,
            retention: Duration::from_mins(30),
            version: 0,
            object: None,
            copies: vec![None; ENTRIES],
            writes: Vec::new(),
            granted: Vec::new(),
            claimants: 0,
            boots: [0; ENTRIES],
            cut: [false; ENTRIES],
            runs: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            told: None,
        }
    }

    /// Lets one step happen and tells what came of it.
    pub fn apply(&mut self, step: Step) -> Option<String> {
        self.told = None;
        match step {
            Step::Claim {
                entry,
                key,
                fresh,
                long,
            } => self.claim(entry, key, fresh, TOTALS[usize::from(long)]),
            Step::Land { write, answered } => {
                let index = position(write, self.writes.len());
                self.land(index, answered);
            }
            Step::ReadBack { write } => {
                let index = position(write, self.writes.len());
                self.read_back(index);
            }
            Step::Dispatch { claim } => self.dispatch(position(claim, self.granted.len())),
            Step::Settle { claim } => self.end(position(claim, self.granted.len()), true),
            Step::Release { claim } => self.end(position(claim, self.granted.len()), false),
            Step::Kill { entry } => self.kill(entry),
            Step::Cut { entry } => self.cut[entry] = !self.cut[entry],
            Step::Collect { entry } => self.collect(entry),
            Step::Retention { seconds } => self.retention = Duration::from_secs(seconds),
            Step::Pass { ms } => self.now_ms += ms,
        }
        self.told.take()
    }

    /// Time by an entry's own clock.
    fn clock(&self, entry: usize) -> u64 {
        self.now_ms + SKEW_MS * entry as u64
    }

    fn holder(&self, claimant: &str) -> Holder {
        let name = claimant.rsplit_once('.').unwrap().0;
        let live = |e: usize| !self.cut[e] && name == format!("{e}.{}", self.boots[e]);
        if (0..ENTRIES).any(live) {
            Holder::Live
        } else {
            Holder::Silent
        }
    }

    fn decide(&mut self, entry: usize, fresh: bool, op: &ClaimOp) -> (OpResult, Option<Write>) {
        if fresh || self.copies[entry].is_none() {
            self.copies[entry] = self.object.clone();
        }
        let copy = self.copies[entry].clone();
        let version = copy.as_ref().map(|(version, _)| *version);
        let mut state = copy.map(|(_, state)| state).unwrap_or_default();
        let now_ms = self.clock(entry);
        let applied = state.apply(now_ms, self.window, [op], |c| self.holder(c));
        let write = Write {
            entry,
            alive: true,
            landed: false,
            version,
            state,
            attempt: None,
        };
        let result = applied.results.into_iter().next().unwrap();
        (result, applied.changed.then_some(write))
    }

    fn claim(&mut self, entry: usize, key: usize, fresh: bool, total: Duration) {
        self.claimants += 1;
        let claimant: Name = format!("{entry}.{}.{}", self.boots[entry], self.claimants).into();
        let req = ClaimRequest {
            key: self.keys[key].clone(),
            digest: "0123".into(),
            retention: self.retention,
            total,
        };
        let op = ClaimOp::Claim {
            claimant: claimant.clone(),
            req: req.clone(),
            instead_of: None,
        };
        let (result, write) = self.decide(entry, fresh, &op);
        self.told = Some(format!("{result:?}"));
        if let OpResult::Verdict(ClaimVerdict::Settled(outcome)) = &result
            && write.is_none()
        {
            self.told(key, outcome);
        }
        let started_ms = self.clock(entry);
        let granted = matches!(result, OpResult::Verdict(ClaimVerdict::Granted(_)));
        assert!(!granted || write.is_some(), "granted without a write");
        self.writes.extend(write.map(|write| Write {
            attempt: granted.then_some((claimant, req, started_ms)),
            ..write
        }));
    }

    /// A caller was told an outcome: it is true and never changes.
    fn told(&mut self, key: usize, outcome: &ClaimOutcome) {
        if let ClaimOutcome::Answered { .. } = outcome {
            assert_eq!(self.runs.get(&key), Some(&1), "an outcome without a run");
        }
        let old = self.outcomes.entry(key).or_insert_with(|| outcome.clone());
        assert_eq!(old, outcome, "the outcome changed");
    }

    fn land(&mut self, index: usize, answered: bool) {
        let Some(write) = self.writes.get(index).cloned() else {
            return;
        };
        let fits = self.object.as_ref().map(|(version, _)| *version) == write.version;
        if write.landed {
            return;
        }
        self.writes[index].landed = true;
        self.told = Some(if fits { "written" } else { "conflict" }.into());
        if fits {
            self.version += 1;
            self.object = Some((self.version, write.state.clone()));
        }
        if write.alive && answered && fits {
            self.copies[write.entry].clone_from(&self.object);
            let late = write.version.is_none() && !self.window.may_grant(self.clock(write.entry));
            self.writes[index].alive = false;
            if late {
                self.told = Some("written too late for a grant".into());
            } else {
                self.grant(&write);
            }
        }
    }

    fn read_back(&mut self, index: usize) {
        let Some(write) = self.writes.get(index).cloned().filter(|w| w.alive) else {
            return;
        };
        let Some((claimant, req, _)) = write.attempt.clone() else {
            return;
        };
        let op = ClaimOp::Claim {
            claimant,
            req,
            instead_of: None,
        };
        let (result, change) = self.decide(write.entry, true, &op);
        let created = write.version.is_none();
        let late = created && !self.window.may_grant(self.clock(write.entry));
        if change.is_none() && matches!(result, OpResult::Verdict(ClaimVerdict::Granted(_))) {
            self.writes[index].alive = false;
            if !late {
                self.grant(&write);
            }
        }
    }

    fn grant(&mut self, write: &Write) {
        let Some((claimant, req, started_ms)) = write.attempt.clone() else {
            return;
        };
        let key = self.keys.iter().position(|k| *k == req.key).unwrap();
        let claim = Claim {
            key: req.key,
            claimant,
            retention: req.retention,
        };
        self.granted.push(Granted {
            entry: write.entry,
            claim,
            key,
            started_ms,
            total: req.total,
            dispatched: false,
        });
    }

    fn dispatch(&mut self, index: usize) {
        let Some(granted) = self.granted.get(index).cloned() else {
            return;
        };
        let waited = self.clock(granted.entry) - granted.started_ms;
        if granted.dispatched || u128::from(waited) >= granted.total.as_millis() {
            return;
        }
        self.granted[index].dispatched = true;
        let told = self.outcomes.get(&granted.key);
        assert_eq!(told, None, "a run began after its outcome was told");
        let runs = self.runs.entry(granted.key).or_default();
        *runs += 1;
        self.told = Some("run".into());
        assert_eq!(*runs, 1, "a second run");
    }

    fn end(&mut self, index: usize, ran: bool) {
        let Some(granted) = self.granted.get(index).cloned() else {
            return;
        };
        if granted.dispatched != ran {
            return;
        }
        let claim = granted.claim;
        let op = if ran {
            ClaimOp::Settle {
                claim,
                outcome: ClaimOutcome::Answered {
                    status: 200,
                    content_type: "text/plain".into(),
                    body: Some("done".into()),
                },
            }
        } else {
            ClaimOp::Release { claim }
        };
        let (_, write) = self.decide(granted.entry, true, &op);
        self.writes.extend(write);
        if !ran {
            self.granted.remove(index);
        }
    }

    fn kill(&mut self, entry: usize) {
        self.boots[entry] += 1;
        self.copies[entry] = None;
        self.granted.retain(|granted| granted.entry != entry);
        for write in self.writes.iter_mut().filter(|w| w.entry == entry) {
            write.alive = false;
        }
    }

    fn collect(&mut self, entry: usize) {
        let now_ms = self.clock(entry);
        let old_enough = self.window <= Window::collectable(self.window.shard, now_ms);
        let agrees = |state: &ShardState| state.may_collect(self.window, now_ms);
        if old_enough && self.object.as_ref().is_some_and(|(_, s)| agrees(s)) {
            self.object = None;
            self.told = Some("collected".into());
        }
    }
}

/// The place that a step means: from [`FROM_END`] on, counted from the newest.
fn position(index: usize, len: usize) -> usize {
    let back = index.checked_sub(FROM_END);
    back.map_or(index, |back| len.saturating_sub(back % len.max(1) + 1))
}

fn key(ms: u64, n: u128) -> ClaimKey {
    let bits = (u128::from(ms) << 80) | (7 << 76) | (0b10 << 62) | n;
    ClaimKey {
        customer: "a".into(),
        key: uuid::Uuid::from_u128(bits),
    }
}
