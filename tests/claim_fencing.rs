//! Fenced claimants of a key whose claims are abandoned one after the other.

#[path = "support/all.rs"]
mod support;

use std::time::SystemTime;

use guavahold::claim::{BucketState, ClaimOp, ClaimVerdict, HolderStatus, OpResult, TimeBucket};
use guavahold::prelude::*;
use support::{TEST_SHARDS, claim_request};

/// Most fenced claimants that a record may hold.
const LIMIT: usize = 16;

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(now.unwrap().as_millis()).unwrap()
}

/// Every write carries the whole object, so a record must not grow with each claim.
#[test]
fn abandoned_claimants_are_fenced_within_limit() {
    let req = claim_request(Duration::ZERO);
    let bucket = TimeBucket::of(&req.key, TEST_SHARDS).unwrap();
    let mut state = BucketState::default();
    let claimants: Vec<Name> = (0..=100).map(|n| format!("entry-{n}").into()).collect();
    for claimant in &claimants {
        let claim = ClaimOp::Claim {
            claimant: claimant.clone(),
            req: req.clone(),
            instead_of: None,
        };
        let batch = state.apply(now_ms(), bucket, [&claim], |_| HolderStatus::Abandoned);
        let result = &batch.results[0];
        assert!(
            matches!(result, OpResult::Verdict(ClaimVerdict::Granted(_))),
            "{result:?}"
        );
    }
    let record = state.claims.values().next().unwrap();
    assert_eq!(record.claimant, claimants[100]);
    assert_eq!(
        record.fenced_claimants.as_slice(),
        &claimants[100 - LIMIT..100],
        "the newest claimants stay fenced"
    );
}
