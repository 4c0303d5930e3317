//! Requests that may take down the targets that run them.

mod record;

use std::collections::{HashMap, VecDeque};

use crate::decide::fleet::TargetIx;
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use record::Record;

/// Targets that a request may take down.
pub(super) const VICTIMS: usize = 2;
/// Time after which a single death is forgotten.
const SUSPICION: Duration = Duration::from_mins(10);
/// Pause after a death, so that the words of peers about the same request arrive.
const PEER_WORD: Duration = Duration::from_millis(50);
/// Suspected and quarantined requests kept at most.
const MOST_FLAGGED: usize = 4096;
/// Harmless requests remembered at most.
const MOST_PROVEN: usize = 16_384;
/// Victims named at most.
const MOST_VICTIMS: usize = 4;

/// What may be done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// It may run anywhere.
    Clear,
    /// It may run only on these targets, since it has not proved harmless yet.
    Only(SmallVec<[TargetIx; 2]>),
    /// It must wait until a lost exchange is explained or another run has ended.
    Wait,
    /// It may run alone, since a target died while running it.
    Isolated(SmallVec<[Name; 2]>),
    /// It is refused until then.
    Quarantined(Timestamp),
}

/// A suspicion or quarantine to be told to the peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Notice {
    /// Fingerprint.
    pub(super) fingerprint: BlockKey,
    /// Targets that died while running it.
    pub(super) victims: Vec<Name>,
    /// Time of the quarantine; zero while it is only suspected.
    pub(super) ttl: Duration,
}

/// Requests that may take down the targets that run them, by fingerprint; bounded in number.
#[derive(Debug)]
pub(super) struct Suspects {
    quarantine: Duration,
    records: HashMap<BlockKey, Record>,
    flagged: VecDeque<BlockKey>,
    proven: VecDeque<BlockKey>,
    open: HashMap<TargetIx, Vec<BlockKey>>,
}

impl Suspects {
    /// Makes an empty table with the time of a quarantine.
    pub(super) fn new(quarantine: Duration) -> Self {
        Self {
            quarantine,
            records: HashMap::new(),
            flagged: VecDeque::new(),
            proven: VecDeque::new(),
            open: HashMap::new(),
        }
    }

    /// What may be done with a request now.
    pub(super) fn standing(&self, now: Timestamp, fingerprint: &BlockKey) -> Standing {
        let Some(record) = self.records.get(fingerprint) else {
            return Standing::Clear;
        };
        if let Some(until) = record.until.filter(|until| now < *until) {
            return Standing::Quarantined(until);
        }
        if !record.open.is_empty() {
            return Standing::Wait;
        }
        let suspected = !record.victims.is_empty() && now < record.died + SUSPICION;
        let unheard = now < record.died + PEER_WORD;
        if suspected && (unheard || !record.running.is_empty()) {
            return Standing::Wait;
        }
        if suspected {
            return Standing::Isolated(record.victims.clone());
        }
        if record.proven || record.running.len() < VICTIMS {
            return Standing::Clear;
        }
        let targets = record.targets();
        if targets.len() < VICTIMS {
            return Standing::Clear;
        }
        Standing::Only(targets)
    }

    /// Tells whether a request is suspected.
    pub(super) fn is_suspected(&self, fingerprint: &BlockKey) -> bool {
        let record = self.records.get(fingerprint);
        record.is_some_and(|r| !r.victims.is_empty() || !r.open.is_empty())
    }

    /// Records that an attempt begins.
    pub(super) fn begin(&mut self, fingerprint: &BlockKey, target: TargetIx) {
        let record = self.records.entry(*fingerprint).or_default();
        record.running.push(target);
    }

    /// Records that an attempt ended; `done` when it ran to its end.
    pub(super) fn end(&mut self, fingerprint: &BlockKey, target: TargetIx, done: bool) {
        let Some(record) = self.records.get_mut(fingerprint) else {
            return;
        };
        if let Some(at) = record.running.iter().position(|t| *t == target) {
            record.running.swap_remove(at);
        }
        if done && record.until.is_none() {
            record.victims.clear();
        }
        if done && !record.proven {
            record.proven = true;
            self.proven.push_back(*fingerprint);
            self.bound_proven();
        } else if record.is_idle() && !record.proven {
            self.records.remove(fingerprint);
        }
    }

    /// Records that the exchange with `target` was lost; its fate is open.
    pub(super) fn lost(&mut self, fingerprint: &BlockKey, target: TargetIx) {
        let record = self.records.entry(*fingerprint).or_default();
        record.open.push(target);
        self.open.entry(target).or_default().push(*fingerprint);
    }

    /// Explains the lost exchanges with `target`; when it died, each is counted against its request.
    pub(super) fn explain(
        &mut self,
        now: Timestamp,
        target: TargetIx,
        died: Option<&Name>,
    ) -> Vec<Notice> {
        let Some(fingerprints) = self.open.remove(&target) else {
            return Vec::new();
        };
        let mut notices = Vec::new();
        for fingerprint in fingerprints {
            let Some(record) = self.records.get_mut(&fingerprint) else {
                continue;
            };
            record.open.retain(|t| *t != target);
            match died {
                Some(victim) => notices.extend(self.blame(now, &fingerprint, victim)),
                None if record.is_idle() && !record.proven => {
                    self.records.remove(&fingerprint);
                }
                None => {}
            }
        }
        notices
    }

    fn blame(&mut self, now: Timestamp, fingerprint: &BlockKey, victim: &Name) -> Option<Notice> {
        let record = self.records.entry(*fingerprint).or_default();
        if !record.add_victim(now, victim) {
            return None;
        }
        if record.victims.len() == 1 {
            self.flagged.push_back(*fingerprint);
        }
        let ttl = self.judge(now, fingerprint);
        self.bound_flagged();
        self.notice(fingerprint, ttl)
    }

    /// Quarantines a request that has taken down too many targets; the time of its quarantine.
    fn judge(&mut self, now: Timestamp, fingerprint: &BlockKey) -> Duration {
        let Some(record) = self.records.get_mut(fingerprint) else {
            return Duration::ZERO;
        };
        if record.victims.len() < VICTIMS {
            return Duration::ZERO;
        }
        record.until = Some(now + self.quarantine);
        self.quarantine
    }

    fn notice(&self, fingerprint: &BlockKey, ttl: Duration) -> Option<Notice> {
        let record = self.records.get(fingerprint)?;
        Some(Notice {
            fingerprint: *fingerprint,
            victims: record.victims.iter().take(MOST_VICTIMS).cloned().collect(),
            ttl,
        })
    }

    /// Takes a peer's word; a notice when only both words together quarantine the request.
    pub(super) fn merge(
        &mut self,
        now: Timestamp,
        fingerprint: &BlockKey,
        victims: &[Name],
        ttl: Duration,
    ) -> Option<Notice> {
        let record = self.records.entry(*fingerprint).or_default();
        let fresh = record.victims.is_empty();
        for victim in victims.iter().take(MOST_VICTIMS) {
            record.add_victim(now, victim);
        }
        if fresh {
            self.flagged.push_back(*fingerprint);
        }
        let known = record.until.is_some_and(|until| now < until);
        if !ttl.is_zero() {
            let until = now + ttl.min(self.quarantine);
            record.until = Some(record.until.unwrap_or_default().max(until));
        }
        let alone = ttl.is_zero() && !known;
        let judged = alone.then(|| self.judge(now, fingerprint));
        self.bound_flagged();
        let ttl = judged.filter(|ttl| !ttl.is_zero())?;
        self.notice(fingerprint, ttl)
    }

    /// Forgives requests whose only victim died together with much of its failure domain.
    pub(super) fn forgive(&mut self, dead: &[Name]) {
        for fingerprint in &self.flagged {
            let Some(record) = self.records.get_mut(fingerprint) else {
                continue;
            };
            let suspected = record.until.is_none() && record.victims.len() < VICTIMS;
            if suspected && record.victims.iter().all(|v| dead.contains(v)) {
                record.victims.clear();
            }
        }
        let records = &self.records;
        self.flagged
            .retain(|f| records.get(f).is_some_and(|r| !r.victims.is_empty()));
    }

    /// Number of fingerprints remembered.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    fn bound_flagged(&mut self) {
        while self.flagged.len() > MOST_FLAGGED {
            if let Some(oldest) = self.flagged.pop_front() {
                self.release(&oldest);
            }
        }
    }

    fn release(&mut self, fingerprint: &BlockKey) {
        if let Some(record) = self.records.get_mut(fingerprint) {
            record.victims.clear();
            record.until = None;
            if record.is_idle() {
                self.records.remove(fingerprint);
            }
        }
    }

    fn bound_proven(&mut self) {
        while self.proven.len() > MOST_PROVEN {
            let Some(oldest) = self.proven.pop_front() else {
                return;
            };
            if let Some(record) = self.records.get_mut(&oldest) {
                record.proven = false;
                if record.is_idle() {
                    self.records.remove(&oldest);
                }
            }
        }
    }
}
