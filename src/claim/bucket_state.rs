//! State machine over the claims of one time bucket.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::claim::record::{ClaimRecord, RecordState};
use crate::claim::time_bucket::{MAX_CLOCK_SKEW_MS, is_in_accepted_range, millis};
use crate::claim::{
    Claim, ClaimError, ClaimKey, ClaimOp, ClaimOutcome, ClaimRequest, ClaimVerdict, HolderStatus,
    OpResult, TimeBucket,
};
use crate::prelude::*;

/// Limit on the estimated size of one object's records without stored response bodies, in bytes;
/// beyond it new keys are rejected.
const MAX_RECORDS_BYTES: usize = 512 * 1024;
/// Estimated bytes of one record besides its key, claimant and fenced claimants.
const RECORD_OVERHEAD_BYTES: usize = 110;
/// Limit on the total size of response bodies stored in one object, in bytes.
const MAX_STORED_BODIES_BYTES: usize = 256 * 1024;
/// Longest response body stored, in bytes.
const MAX_BODY_BYTES: usize = 2 * 1024;
/// Leading hexadecimal digits of a digest that are stored.
const STORED_DIGEST_DIGITS: usize = 32;
/// Most fenced claimants stored for one key.
const MAX_FENCED_CLAIMANTS: usize = 16;
/// Time after the run's deadline for an unreachable claimant to record its outcome, in
/// milliseconds.
const UNREACHABLE_GRACE_MS: u64 = 5_000 + MAX_CLOCK_SKEW_MS;
/// Time after the run's deadline for a live claimant to record its outcome, in milliseconds.
const LIVE_GRACE_MS: u64 = 60_000;
/// `retry_after` of a claim rejected because its time bucket is full.
const FULL_BUCKET_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The claims of one time bucket; the `spec` of an object of kind `claims`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketState {
    /// Time until which the object must not be deleted, in milliseconds since the Unix epoch.
    pub keep_until_ms: u64,
    /// Records by `{key}/{customer}`.
    pub claims: BTreeMap<Name, ClaimRecord>,
}

/// Results of a batch of operations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BatchResult {
    /// One result for each operation, in order.
    pub results: Vec<OpResult>,
    /// Whether the state changed; if so, the results are valid only once the object is written.
    pub changed: bool,
}

impl BucketState {
    /// Kind of the objects in the platform.
    pub const KIND: &'static str = "claims";

    /// Applies a batch of operations. `holder_status` returns the status of a claimant's process.
    ///
    /// # Panics
    /// If a claim would get a second holder or leave the settled state, which would be a bug.
    pub fn apply<'a>(
        &mut self,
        now_ms: u64,
        bucket: TimeBucket,
        ops: impl IntoIterator<Item = &'a ClaimOp>,
        holder_status: impl Fn(&str) -> HolderStatus,
    ) -> BatchResult {
        let before = self.clone();
        let ops = ops.into_iter();
        let results = ops.map(|op| self.apply_one(now_ms, bucket, op, &holder_status));
        let results = results.collect();
        self.assert_valid_transition(&before);
        BatchResult {
            results,
            changed: *self != before,
        }
    }

    /// Whether the object may be deleted.
    #[must_use]
    pub fn may_collect(&self, bucket: TimeBucket, now_ms: u64) -> bool {
        now_ms > self.keep_until_ms.max(bucket.keep_until_ms(Duration::ZERO))
    }

    /// Estimated size of the object, in bytes.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        self.record_bytes() + self.stored_body_bytes()
    }

    fn apply_one(
        &mut self,
        now_ms: u64,
        bucket: TimeBucket,
        op: &ClaimOp,
        holder_status: &impl Fn(&str) -> HolderStatus,
    ) -> OpResult {
        match op {
            ClaimOp::Claim {
                claimant,
                req,
                instead_of,
            } => {
                if let Some(replaced) = instead_of {
                    self.release(now_ms, bucket, &req.key, replaced);
                }
                let verdict = self.claim(now_ms, bucket, claimant, req, holder_status);
                verdict.map_or_else(OpResult::Failed, OpResult::Verdict)
            }
            ClaimOp::Settle { claim, outcome } => {
                self.settle(claim, outcome);
                OpResult::ClaimEnded
            }
            ClaimOp::Release { claim } => {
                self.release(now_ms, bucket, &claim.key, &claim.claimant);
                OpResult::ClaimEnded
            }
        }
    }

    fn claim(
        &mut self,
        now_ms: u64,
        bucket: TimeBucket,
        claimant: &Name,
        req: &ClaimRequest,
        holder_status: &impl Fn(&str) -> HolderStatus,
    ) -> Result<ClaimVerdict, ClaimError> {
        if !is_in_accepted_range(req, now_ms) {
            return Ok(ClaimVerdict::OutOfWindow);
        }
        let name = record_name(&req.key);
        let digest: Name = truncate_digest(&req.digest).into();
        let run_deadline_ms = now_ms + millis(req.total_timeout);
        let accepts_first_claims = bucket.accepts_first_claims(now_ms);
        let Some(record) = self.claims.get_mut(&name) else {
            if !accepts_first_claims {
                return Ok(ClaimVerdict::OutOfWindow);
            }
            if self.record_bytes() > MAX_RECORDS_BYTES {
                let retry_after = FULL_BUCKET_RETRY_AFTER;
                return Err(ClaimError::Overloaded { retry_after });
            }
            let record = ClaimRecord::held(digest, claimant.clone(), run_deadline_ms);
            self.claims.insert(name, record);
            return Ok(self.grant(bucket, claimant, req));
        };
        if record.state == RecordState::Held
            && holder_status(&record.claimant) == HolderStatus::Abandoned
        {
            record.state = RecordState::Free;
            record.fence(&record.claimant.clone());
        }
        if record.digest != digest && record.state != RecordState::Free {
            return Ok(ClaimVerdict::Mismatch);
        }
        match &record.state {
            RecordState::Settled(outcome) => Ok(ClaimVerdict::Settled(outcome.clone())),
            RecordState::Held if record.claimant == *claimant => {
                Ok(self.grant(bucket, claimant, req))
            }
            RecordState::Held if record.is_outcome_overdue(now_ms, holder_status) => {
                record.state = RecordState::Settled(ClaimOutcome::Unknown);
                Ok(ClaimVerdict::Settled(ClaimOutcome::Unknown))
            }
            RecordState::Held => Ok(ClaimVerdict::InProgress),
            RecordState::Free if record.fenced_claimants.contains(claimant) => {
                Ok(ClaimVerdict::InProgress)
            }
            RecordState::Free if !accepts_first_claims => Ok(ClaimVerdict::OutOfWindow),
            RecordState::Free => {
                record.digest = digest;
                record.claimant = claimant.clone();
                record.run_deadline_ms = run_deadline_ms;
                record.state = RecordState::Held;
                Ok(self.grant(bucket, claimant, req))
            }
        }
    }

    /// Grants a recorded claim and extends the time that the object is kept.
    fn grant(&mut self, bucket: TimeBucket, claimant: &Name, req: &ClaimRequest) -> ClaimVerdict {
        let keep = bucket.keep_until_ms(req.retention.max(req.total_timeout));
        self.keep_until_ms = self.keep_until_ms.max(keep);
        ClaimVerdict::Granted(Claim {
            key: req.key.clone(),
            claimant: claimant.clone(),
            retention: req.retention,
        })
    }

    /// Records the outcome if the claimant still holds the claim.
    fn settle(&mut self, claim: &Claim, outcome: &ClaimOutcome) {
        let room = MAX_STORED_BODIES_BYTES.saturating_sub(self.stored_body_bytes());
        let Some(record) = self.claims.get_mut(&record_name(&claim.key)) else {
            return;
        };
        if record.state == RecordState::Held && record.claimant == claim.claimant {
            record.state = RecordState::Settled(without_long_body(outcome, room));
        }
    }

    /// Frees the key if the claimant holds it and fences the claimant, even when the key has no
    /// record yet, because a write with its claim may still be in flight.
    fn release(&mut self, now_ms: u64, bucket: TimeBucket, key: &ClaimKey, claimant: &Name) {
        let name = record_name(key);
        if !self.claims.contains_key(&name) && !bucket.accepts_first_claims(now_ms) {
            return;
        }
        let record = self.claims.entry(name);
        let record = record.or_insert_with(|| ClaimRecord::free(claimant.clone()));
        if record.state == RecordState::Held && record.claimant == *claimant {
            record.state = RecordState::Free;
        }
        record.fence(claimant);
    }

    /// Estimated size of the records without stored response bodies, in bytes.
    fn record_bytes(&self) -> usize {
        let sizes = self.claims.iter().map(|(name, record)| {
            let fenced_bytes = record.fenced_claimants.iter().map(|n| n.len() + 3);
            RECORD_OVERHEAD_BYTES + name.len() + record.claimant.len() + fenced_bytes.sum::<usize>()
        });
        sizes.sum()
    }

    /// Size of the stored response bodies, in bytes.
    fn stored_body_bytes(&self) -> usize {
        let sizes = self.claims.values().map(|record| match &record.state {
            RecordState::Settled(ClaimOutcome::Answered { body, .. }) => {
                body.as_ref().map_or(0, String::len)
            }
            _ => 0,
        });
        sizes.sum()
    }

    /// Panics when a claim was dropped, left the settled state or changed its holder without a
    /// release.
    fn assert_valid_transition(&self, before: &Self) {
        for (name, old) in &before.claims {
            let new = self.claims.get(name);
            let new = new.unwrap_or_else(|| panic!("claim {name} was dropped"));
            if matches!(old.state, RecordState::Settled(_)) {
                assert_eq!(old.state, new.state, "claim {name} left the settled state");
                assert_eq!(
                    old.claimant, new.claimant,
                    "settled claim {name} changed its claimant"
                );
            }
            if old.state == RecordState::Held && new.state == RecordState::Held {
                let fenced = new.fenced_claimants.contains(&old.claimant);
                let unchanged = old.claimant == new.claimant;
                assert!(unchanged || fenced, "claim {name} has a second holder");
            }
        }
    }
}

impl ClaimRecord {
    fn held(digest: Name, claimant: Name, run_deadline_ms: u64) -> Self {
        Self {
            digest,
            claimant,
            run_deadline_ms,
            state: RecordState::Held,
            fenced_claimants: SmallVec::new(),
        }
    }

    fn free(claimant: Name) -> Self {
        Self {
            state: RecordState::Free,
            ..Self::held("".into(), claimant, 0)
        }
    }

    /// Fences a claimant; beyond [`MAX_FENCED_CLAIMANTS`] the oldest one is no longer fenced.
    fn fence(&mut self, claimant: &Name) {
        if self.fenced_claimants.contains(claimant) {
            return;
        }
        if self.fenced_claimants.len() >= MAX_FENCED_CLAIMANTS {
            self.fenced_claimants.remove(0);
        }
        self.fenced_claimants.push(claimant.clone());
    }

    /// Whether no run can start any more and the time to record an outcome has passed.
    fn is_outcome_overdue(
        &self,
        now_ms: u64,
        holder_status: &impl Fn(&str) -> HolderStatus,
    ) -> bool {
        match holder_status(&self.claimant) {
            HolderStatus::Recovering => false,
            HolderStatus::Live => now_ms > self.run_deadline_ms + LIVE_GRACE_MS,
            HolderStatus::Unreachable => now_ms > self.run_deadline_ms + UNREACHABLE_GRACE_MS,
            HolderStatus::Abandoned => {
                unreachable!("an abandoned claim is freed before this check")
            }
        }
    }
}

/// Key of a record in [`BucketState::claims`].
fn record_name(key: &ClaimKey) -> Name {
    format!("{}/{}", key.key.simple(), key.customer).into()
}

fn truncate_digest(digest: &str) -> &str {
    digest.get(..STORED_DIGEST_DIGITS).unwrap_or(digest)
}

/// Copies an outcome, without the body if it is longer than `room` or the limit for one body.
fn without_long_body(outcome: &ClaimOutcome, room: usize) -> ClaimOutcome {
    let mut outcome = outcome.clone();
    if let ClaimOutcome::Answered { body, .. } = &mut outcome {
        let limit = room.min(MAX_BODY_BYTES);
        *body = body.take().filter(|text| text.len() <= limit);
    }
    outcome
}
