//! Simulation of entries that claim keys of one time bucket.
//!
//! It covers outdated cached objects, delayed writes, lost answers, skewed clocks, restarts, lost
//! links between entries, changed retentions and garbage collection, and panics when a key runs
//! twice or its outcome changes.

mod step;

use std::collections::BTreeMap;

use guavahold::claim::{
    BucketState, Claim, ClaimKey, ClaimOp, ClaimOutcome, ClaimRequest, ClaimVerdict, HolderStatus,
    OpResult, TimeBucket,
};
use guavahold::prelude::*;
pub use step::Step;

/// Number of entries.
pub const ENTRIES: usize = 3;
/// Number of keys.
pub const KEYS: usize = 2;
/// An index of a step from this value on counts back from the newest write or granted claim.
pub const FROM_NEWEST: usize = 1_000;
/// How far each entry's clock is ahead of the previous entry's, in milliseconds.
const CLOCK_SKEW_STEP_MS: u64 = 2_000;

/// Total timeouts of a request: a short one, and one longer than an object is kept.
const TOTAL_TIMEOUTS: [Duration; 2] = [Duration::from_secs(20), Duration::from_hours(2)];

/// A write sent to the platform.
#[derive(Clone, Debug)]
struct Write {
    entry: usize,
    /// Whether the entry still waits for the answer.
    awaiting_answer: bool,
    delivered: bool,
    /// Version that the object must have; `None` for a write that creates it.
    version: Option<u64>,
    state: BucketState,
    /// Claimant, request and start time of a granted claim, in milliseconds.
    attempt: Option<(Name, ClaimRequest, u64)>,
}

/// A granted claim whose entry has not crashed.
#[derive(Clone, Debug)]
struct GrantedClaim {
    entry: usize,
    claim: Claim,
    key: usize,
    started_ms: u64,
    total_timeout: Duration,
    dispatched: bool,
}

/// The platform's object of one time bucket and the entries that claim its keys.
#[derive(Debug)]
pub struct ClaimSimulation {
    now_ms: u64,
    bucket: TimeBucket,
    keys: Vec<ClaimKey>,
    retention: Duration,
    version: u64,
    object: Option<(u64, BucketState)>,
    cached_objects: Vec<Option<(u64, BucketState)>>,
    writes: Vec<Write>,
    granted: Vec<GrantedClaim>,
    claimants: u64,
    boots: [u64; ENTRIES],
    /// Whether the links of an entry are down.
    links_down: [bool; ENTRIES],
    /// Number of dispatches of each key.
    runs: BTreeMap<usize, u32>,
    /// Outcome that callers received for each key.
    reported_outcomes: BTreeMap<usize, ClaimOutcome>,
    step_result: Option<String>,
}

impl ClaimSimulation {
    /// Creates a simulation without claims.
    pub fn new() -> Self {
        let start_ms = 1_700_000_000_000;
        let keys: Vec<_> = (0..KEYS as u128).map(|n| key(start_ms, n)).collect();
        Self {
            now_ms: start_ms,
            bucket: TimeBucket::of(&keys[0], 1).unwrap(),
            keys,
            retention: Duration::from_mins(30),
            version: 0,
            object: None,
            cached_objects: vec![None; ENTRIES],
            writes: Vec::new(),
            granted: Vec::new(),
            claimants: 0,
            boots: [0; ENTRIES],
            links_down: [false; ENTRIES],
            runs: BTreeMap::new(),
            reported_outcomes: BTreeMap::new(),
            step_result: None,
        }
    }

    /// Executes one step; returns its visible result, if it has one.
    pub fn apply(&mut self, step: Step) -> Option<String> {
        self.step_result = None;
        match step {
            Step::Claim {
                entry,
                key,
                fresh,
                long,
            } => self.claim(entry, key, fresh, TOTAL_TIMEOUTS[usize::from(long)]),
            Step::DeliverWrite { write, answered } => {
                let index = resolve_index(write, self.writes.len());
                self.deliver(index, answered);
            }
            Step::ReadBack { write } => {
                let index = resolve_index(write, self.writes.len());
                self.read_back(index);
            }
            Step::Dispatch { claim } => self.dispatch(resolve_index(claim, self.granted.len())),
            Step::Settle { claim } => self.end(resolve_index(claim, self.granted.len()), true),
            Step::Release { claim } => self.end(resolve_index(claim, self.granted.len()), false),
            Step::Kill { entry } => self.kill(entry),
            Step::ToggleLinks { entry } => self.links_down[entry] = !self.links_down[entry],
            Step::Collect { entry } => self.collect(entry),
            Step::SetRetention { seconds } => self.retention = Duration::from_secs(seconds),
            Step::AdvanceClock { ms } => self.now_ms += ms,
        }
        self.step_result.take()
    }

    /// Time on an entry's clock, in milliseconds since the Unix epoch.
    fn clock(&self, entry: usize) -> u64 {
        self.now_ms + CLOCK_SKEW_STEP_MS * entry as u64
    }

    fn holder_status(&self, claimant: &str) -> HolderStatus {
        let name = claimant.rsplit_once('.').unwrap().0;
        let live = |e: usize| !self.links_down[e] && name == format!("{e}.{}", self.boots[e]);
        if (0..ENTRIES).any(live) {
            HolderStatus::Live
        } else {
            HolderStatus::Unreachable
        }
    }

    /// Applies an operation to an entry's object; returns the write if the object changed.
    fn decide(&mut self, entry: usize, fresh: bool, op: &ClaimOp) -> (OpResult, Option<Write>) {
        if fresh || self.cached_objects[entry].is_none() {
            self.cached_objects[entry] = self.object.clone();
        }
        let cached = self.cached_objects[entry].clone();
        let version = cached.as_ref().map(|(version, _)| *version);
        let mut state = cached.map(|(_, state)| state).unwrap_or_default();
        let now_ms = self.clock(entry);
        let batch_result = state.apply(now_ms, self.bucket, [op], |c| self.holder_status(c));
        let write = Write {
            entry,
            awaiting_answer: true,
            delivered: false,
            version,
            state,
            attempt: None,
        };
        let result = batch_result.results.into_iter().next().unwrap();
        (result, batch_result.changed.then_some(write))
    }

    fn claim(&mut self, entry: usize, key: usize, fresh: bool, total_timeout: Duration) {
        self.claimants += 1;
        let claimant: Name = format!("{entry}.{}.{}", self.boots[entry], self.claimants).into();
        let req = ClaimRequest {
            key: self.keys[key].clone(),
            digest: "0123".into(),
            retention: self.retention,
            total_timeout,
        };
        let op = ClaimOp::Claim {
            claimant: claimant.clone(),
            req: req.clone(),
            instead_of: None,
        };
        let (result, write) = self.decide(entry, fresh, &op);
        self.step_result = Some(format!("{result:?}"));
        if let OpResult::Verdict(ClaimVerdict::Settled(outcome)) = &result
            && write.is_none()
        {
            self.check_reported_outcome(key, outcome);
        }
        let started_ms = self.clock(entry);
        let granted = matches!(result, OpResult::Verdict(ClaimVerdict::Granted(_)));
        assert!(
            !granted || write.is_some(),
            "a claim was granted without a write"
        );
        self.writes.extend(write.map(|write| Write {
            attempt: granted.then_some((claimant, req, started_ms)),
            ..write
        }));
    }

    /// Panics when an outcome that a caller received has no run or differs from an earlier one.
    fn check_reported_outcome(&mut self, key: usize, outcome: &ClaimOutcome) {
        if let ClaimOutcome::Answered { .. } = outcome {
            assert_eq!(
                self.runs.get(&key),
                Some(&1),
                "an outcome was reported without exactly one run"
            );
        }
        let old = self
            .reported_outcomes
            .entry(key)
            .or_insert_with(|| outcome.clone());
        assert_eq!(old, outcome, "the reported outcome changed");
    }

    fn deliver(&mut self, index: usize, answered: bool) {
        let Some(write) = self.writes.get(index).cloned() else {
            return;
        };
        let version_matches = self.object.as_ref().map(|(version, _)| *version) == write.version;
        if write.delivered {
            return;
        }
        self.writes[index].delivered = true;
        self.step_result = Some(
            if version_matches {
                "written"
            } else {
                "conflict"
            }
            .into(),
        );
        if version_matches {
            self.version += 1;
            self.object = Some((self.version, write.state.clone()));
        }
        if write.awaiting_answer && answered && version_matches {
            self.cached_objects[write.entry].clone_from(&self.object);
            let too_late =
                write.version.is_none() && !self.bucket.may_grant_created(self.clock(write.entry));
            self.writes[index].awaiting_answer = false;
            if too_late {
                self.step_result = Some("written too late for a grant".into());
            } else {
                self.grant(&write);
            }
        }
    }

    /// Applies a claim again to the object as read back; the claim is granted if the write took
    /// effect.
    fn read_back(&mut self, index: usize) {
        let Some(write) = self
            .writes
            .get(index)
            .cloned()
            .filter(|w| w.awaiting_answer)
        else {
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
        let too_late = created && !self.bucket.may_grant_created(self.clock(write.entry));
        if change.is_none() && matches!(result, OpResult::Verdict(ClaimVerdict::Granted(_))) {
            self.writes[index].awaiting_answer = false;
            if !too_late {
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
        self.granted.push(GrantedClaim {
            entry: write.entry,
            claim,
            key,
            started_ms,
            total_timeout: req.total_timeout,
            dispatched: false,
        });
    }

    fn dispatch(&mut self, index: usize) {
        let Some(granted) = self.granted.get(index).cloned() else {
            return;
        };
        let elapsed_ms = self.clock(granted.entry) - granted.started_ms;
        if granted.dispatched || u128::from(elapsed_ms) >= granted.total_timeout.as_millis() {
            return;
        }
        self.granted[index].dispatched = true;
        let reported = self.reported_outcomes.get(&granted.key);
        assert_eq!(reported, None, "a run began after its outcome was reported");
        let runs = self.runs.entry(granted.key).or_default();
        *runs += 1;
        self.step_result = Some("run".into());
        assert_eq!(*runs, 1, "the request ran twice");
    }

    /// Settles a dispatched claim or releases an undispatched one.
    fn end(&mut self, index: usize, dispatched: bool) {
        let Some(granted) = self.granted.get(index).cloned() else {
            return;
        };
        if granted.dispatched != dispatched {
            return;
        }
        let claim = granted.claim;
        let op = if dispatched {
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
        if !dispatched {
            self.granted.remove(index);
        }
    }

    fn kill(&mut self, entry: usize) {
        self.boots[entry] += 1;
        self.cached_objects[entry] = None;
        self.granted.retain(|granted| granted.entry != entry);
        for write in self.writes.iter_mut().filter(|w| w.entry == entry) {
            write.awaiting_answer = false;
        }
    }

    fn collect(&mut self, entry: usize) {
        let now_ms = self.clock(entry);
        let is_collectable =
            self.bucket <= TimeBucket::newest_collectable(self.bucket.shard, now_ms);
        let object_expired = |state: &BucketState| state.may_collect(self.bucket, now_ms);
        if is_collectable && self.object.as_ref().is_some_and(|(_, s)| object_expired(s)) {
            self.object = None;
            self.step_result = Some("collected".into());
        }
    }
}

/// Resolves an index in a step; see [`FROM_NEWEST`].
fn resolve_index(index: usize, len: usize) -> usize {
    let back = index.checked_sub(FROM_NEWEST);
    back.map_or(index, |back| len.saturating_sub(back % len.max(1) + 1))
}

fn key(ms: u64, n: u128) -> ClaimKey {
    let bits = (u128::from(ms) << 80) | (7 << 76) | (0b10 << 62) | n;
    ClaimKey {
        customer: "a".into(),
        key: uuid::Uuid::from_u128(bits),
    }
}
