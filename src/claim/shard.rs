//! The claims of one window, as a state machine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::claim::record::{ClaimRecord, RecordState};
use crate::claim::window::{SKEW_MS, in_window, millis};
use crate::claim::{
    Claim, ClaimError, ClaimKey, ClaimOp, ClaimOutcome, ClaimRequest, ClaimVerdict, Holder,
    OpResult, Window,
};
use crate::prelude::*;

/// Bytes of claims without their answers in one object at most.
const MAX_CLAIM_BYTES: usize = 512 * 1024;
/// Bytes of one claim besides its names.
const RECORD_BYTES: usize = 110;
/// Bytes of answers kept in one object at most.
const MAX_KEPT_BYTES: usize = 256 * 1024;
/// Longest answer kept, in bytes.
const MAX_BODY_BYTES: usize = 2 * 1024;
/// Digits of a digest kept.
const DIGEST_DIGITS: usize = 32;
/// Given-up claimants remembered for one key.
const MAX_GIVEN_UP: usize = 16;
/// Time left for a silent claimant to record its outcome.
const SILENT_GRACE_MS: u64 = 5_000 + SKEW_MS;
/// Time left for a claimant that answers to record its outcome.
const LIVE_GRACE_MS: u64 = 60_000;
/// Pause before a claim is asked again when its window is full.
const FULL_RETRY: Duration = Duration::from_secs(5);

/// The claims of one window; the `spec` of an object of kind `claims`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardState {
    /// Time before which the object is not collected, in milliseconds since the Unix epoch.
    pub keep_until_ms: u64,
    /// Claims by `{key}/{customer}`.
    pub claims: BTreeMap<Name, ClaimRecord>,
}

/// Results of a batch of operations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// One result for each operation.
    pub results: Vec<OpResult>,
    /// Whether the object has to be written for the results to hold.
    pub changed: bool,
}

impl ShardState {
    /// Kind of the objects in the platform.
    pub const KIND: &'static str = "claims";

    /// Applies a batch of operations; the results hold once the object is written if it changed.
    ///
    /// # Panics
    /// When a claim would get a second holder or leave a settled state, which would be a defect.
    pub fn apply<'a>(
        &mut self,
        now_ms: u64,
        window: Window,
        ops: impl IntoIterator<Item = &'a ClaimOp>,
        holder: impl Fn(&str) -> Holder,
    ) -> Applied {
        let before = self.clone();
        let ops = ops.into_iter();
        let results = ops.map(|op| self.apply_one(now_ms, window, op, &holder));
        let results = results.collect();
        self.check_after(&before);
        Applied {
            results,
            changed: *self != before,
        }
    }

    /// Tells whether the object may be deleted.
    #[must_use]
    pub fn may_collect(&self, window: Window, now_ms: u64) -> bool {
        now_ms > self.keep_until_ms.max(window.keep_until_ms(Duration::ZERO))
    }

    /// Estimated size of the object, in bytes.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        self.claim_bytes() + self.kept_bytes()
    }

    fn apply_one(
        &mut self,
        now_ms: u64,
        window: Window,
        op: &ClaimOp,
        holder: &impl Fn(&str) -> Holder,
    ) -> OpResult {
        match op {
            ClaimOp::Claim {
                claimant,
                req,
                instead_of,
            } => {
                if let Some(earlier) = instead_of {
                    self.give_up(now_ms, window, &req.key, earlier);
                }
                let verdict = self.claim(now_ms, window, claimant, req, holder);
                verdict.map_or_else(OpResult::Failed, OpResult::Verdict)
            }
            ClaimOp::Settle { claim, outcome } => {
                self.settle(claim, outcome);
                OpResult::Ended
            }
            ClaimOp::Release { claim } => {
                self.give_up(now_ms, window, &claim.key, &claim.claimant);
                OpResult::Ended
            }
        }
    }

    fn claim(
        &mut self,
        now_ms: u64,
        window: Window,
        claimant: &Name,
        req: &ClaimRequest,
        holder: &impl Fn(&str) -> Holder,
    ) -> Result<ClaimVerdict, ClaimError> {
        if !in_window(req, now_ms) {
            return Ok(ClaimVerdict::OutOfWindow);
        }
        let name = record_name(&req.key);
        let digest: Name = short(&req.digest).into();
        let ends_ms = now_ms + millis(req.total);
        let open = window.is_open(now_ms);
        let Some(record) = self.claims.get_mut(&name) else {
            if !open {
                return Ok(ClaimVerdict::OutOfWindow);
            }
            if self.claim_bytes() > MAX_CLAIM_BYTES {
                let retry_after = FULL_RETRY;
                return Err(ClaimError::Overloaded { retry_after });
            }
            let record = ClaimRecord::held(digest, claimant.clone(), ends_ms);
            self.claims.insert(name, record);
            return Ok(self.grant(window, claimant, req));
        };
        if record.state == RecordState::Held && holder(&record.claimant) == Holder::Gone {
            record.state = RecordState::Free;
            record.given_up.push(record.claimant.clone());
        }
        if record.digest != digest && record.state != RecordState::Free {
            return Ok(ClaimVerdict::Mismatch);
        }
        match &record.state {
            RecordState::Settled(outcome) => Ok(ClaimVerdict::Settled(outcome.clone())),
            RecordState::Held if record.claimant == *claimant => {
                Ok(self.grant(window, claimant, req))
            }
            RecordState::Held if record.is_over(now_ms, holder) => {
                record.state = RecordState::Settled(ClaimOutcome::Unknown);
                Ok(ClaimVerdict::Settled(ClaimOutcome::Unknown))
            }
            RecordState::Held => Ok(ClaimVerdict::InProgress),
            RecordState::Free if record.given_up.contains(claimant) => Ok(ClaimVerdict::InProgress),
            RecordState::Free if !open => Ok(ClaimVerdict::OutOfWindow),
            RecordState::Free => {
                record.digest = digest;
                record.claimant = claimant.clone();
                record.ends_ms = ends_ms;
                record.state = RecordState::Held;
                Ok(self.grant(window, claimant, req))
            }
        }
    }

    fn grant(&mut self, window: Window, claimant: &Name, req: &ClaimRequest) -> ClaimVerdict {
        let keep = window.keep_until_ms(req.retention.max(req.total));
        self.keep_until_ms = self.keep_until_ms.max(keep);
        ClaimVerdict::Granted(Claim {
            key: req.key.clone(),
            claimant: claimant.clone(),
            retention: req.retention,
        })
    }

    fn settle(&mut self, claim: &Claim, outcome: &ClaimOutcome) {
        let room = MAX_KEPT_BYTES.saturating_sub(self.kept_bytes());
        let Some(record) = self.claims.get_mut(&record_name(&claim.key)) else {
            return;
        };
        if record.state == RecordState::Held && record.claimant == claim.claimant {
            record.state = RecordState::Settled(trimmed(outcome, room));
        }
    }

    /// Frees the key if the claimant holds it, and remembers the claimant even when nothing is known
    /// of the key, because its claim may still be on the way.
    fn give_up(&mut self, now_ms: u64, window: Window, key: &ClaimKey, claimant: &Name) {
        let name = record_name(key);
        if !self.claims.contains_key(&name) && !window.is_open(now_ms) {
            return;
        }
        let record = self.claims.entry(name);
        let record = record.or_insert_with(|| ClaimRecord::free(claimant.clone()));
        if record.state == RecordState::Held && record.claimant == *claimant {
            record.state = RecordState::Free;
        }
        if !record.given_up.contains(claimant) {
            if record.given_up.len() >= MAX_GIVEN_UP {
                record.given_up.remove(0);
            }
            record.given_up.push(claimant.clone());
        }
    }

    /// Estimated size of the claims without their answers, in bytes.
    fn claim_bytes(&self) -> usize {
        let sizes = self.claims.iter().map(|(name, record)| {
            let given_up = record.given_up.iter().map(|n| n.len() + 3);
            RECORD_BYTES + name.len() + record.claimant.len() + given_up.sum::<usize>()
        });
        sizes.sum()
    }

    fn kept_bytes(&self) -> usize {
        let bodies = self.claims.values().map(|record| match &record.state {
            RecordState::Settled(ClaimOutcome::Answered { body, .. }) => {
                body.as_ref().map_or(0, String::len)
            }
            _ => 0,
        });
        bodies.sum()
    }

    fn check_after(&self, before: &Self) {
        for (name, old) in &before.claims {
            let new = self.claims.get(name);
            let new = new.unwrap_or_else(|| panic!("claim {name} was dropped"));
            if matches!(old.state, RecordState::Settled(_)) {
                assert_eq!(old.state, new.state, "claim {name} left a settled state");
                assert_eq!(old.claimant, new.claimant, "claim {name} changed hands");
            }
            if old.state == RecordState::Held && new.state == RecordState::Held {
                let freed = new.given_up.contains(&old.claimant);
                let kept = old.claimant == new.claimant;
                assert!(kept || freed, "claim {name} has a second holder");
            }
        }
    }
}

impl ClaimRecord {
    fn held(digest: Name, claimant: Name, ends_ms: u64) -> Self {
        Self {
            digest,
            claimant,
            ends_ms,
            state: RecordState::Held,
            given_up: SmallVec::new(),
        }
    }

    fn free(claimant: Name) -> Self {
        Self {
            state: RecordState::Free,
            ..Self::held("".into(), claimant, 0)
        }
    }

    /// Tells whether no outcome is to be expected any more and no run can start.
    fn is_over(&self, now_ms: u64, holder: &impl Fn(&str) -> Holder) -> bool {
        match holder(&self.claimant) {
            Holder::Recovering => false,
            Holder::Live => now_ms > self.ends_ms + LIVE_GRACE_MS,
            Holder::Silent => now_ms > self.ends_ms + SILENT_GRACE_MS,
            Holder::Gone => unreachable!("a claim without a holder is free"),
        }
    }
}

fn record_name(key: &ClaimKey) -> Name {
    format!("{}/{}", key.key.simple(), key.customer).into()
}

fn short(digest: &str) -> &str {
    digest.get(..DIGEST_DIGITS).unwrap_or(digest)
}

/// Leaves out an answer that is too long to keep.
fn trimmed(outcome: &ClaimOutcome, room: usize) -> ClaimOutcome {
    let mut outcome = outcome.clone();
    if let ClaimOutcome::Answered { body, .. } = &mut outcome {
        let limit = room.min(MAX_BODY_BYTES);
        *body = body.take().filter(|text| text.len() <= limit);
    }
    outcome
}
