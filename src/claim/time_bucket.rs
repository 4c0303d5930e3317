//! Time buckets of claim keys, and the time limits on claiming a key.

use crate::claim::{Claim, ClaimKey, ClaimRequest};
use crate::prelude::*;

/// Span of key timestamps covered by one time bucket, in milliseconds.
const BUCKET_SPAN_MS: u64 = 10_000;
/// Time after the start of a bucket's span during which its object is assumed not to exist yet, in
/// milliseconds.
const ASSUMED_ABSENT_MS: u64 = 500;
/// Time after the end of a bucket's span during which its keys may be claimed for the first time,
/// in milliseconds. Objects are kept longer, so that a key of a deleted object is never claimed
/// again.
const FIRST_CLAIM_PERIOD_MS: u64 = 3_600_000;
/// Largest assumed difference between the clocks of two VMs, in milliseconds.
pub(crate) const MAX_CLOCK_SKEW_MS: u64 = 5_000;
/// How far a key's timestamp may be in the future, in milliseconds.
const MAX_KEY_AHEAD_MS: u64 = 60_000;

/// A span of key timestamps within one shard; its claims are stored in one platform object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TimeBucket {
    /// Shard number.
    pub shard: u32,
    /// Number of whole spans between the Unix epoch and the start of this one.
    pub index: u64,
}

impl TimeBucket {
    /// The bucket of a key; `None` when the key is not a UUID of version 7.
    #[must_use]
    pub fn of(key: &ClaimKey, shards: u32) -> Option<Self> {
        Some(Self {
            shard: shard_of(key, shards),
            index: key_timestamp_ms(key)? / BUCKET_SPAN_MS,
        })
    }

    /// The newest bucket of a shard that may be deleted at `now_ms`; its object may have to be kept
    /// longer, see [`BucketState::may_collect`](crate::claim::BucketState::may_collect).
    #[must_use]
    pub fn newest_collectable(shard: u32, now_ms: u64) -> Self {
        let end = now_ms.saturating_sub(FIRST_CLAIM_PERIOD_MS + 2 * MAX_CLOCK_SKEW_MS);
        let index = (end / BUCKET_SPAN_MS).saturating_sub(1);
        Self { shard, index }
    }

    /// Name of the bucket's object in the platform, `{shard}-{index}`.
    #[must_use]
    pub fn object_name(self) -> Name {
        format!("{}-{}", self.shard, self.index).into()
    }

    /// End of the span, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn end_ms(self) -> u64 {
        (self.index + 1) * BUCKET_SPAN_MS
    }

    /// Whether keys of this bucket may be claimed for the first time at `now_ms`. Later only stored
    /// outcomes are returned, because a late write may have recreated the deleted object without
    /// its claims.
    #[must_use]
    pub fn accepts_first_claims(self, now_ms: u64) -> bool {
        now_ms <= self.end_ms() + FIRST_CLAIM_PERIOD_MS
    }

    /// Whether the span has just begun, so that its object probably does not exist yet.
    pub(crate) fn has_just_started(self, now_ms: u64) -> bool {
        let start_ms = self.index * BUCKET_SPAN_MS;
        (start_ms..start_ms + ASSUMED_ABSENT_MS).contains(&now_ms)
    }

    /// Whether a claim whose write created the object may still be granted when that write is
    /// answered at `now_ms`. Later, the object may be one that was deleted and that a paused writer
    /// recreated.
    #[must_use]
    pub fn may_grant_created(self, now_ms: u64) -> bool {
        now_ms < self.end_ms() + FIRST_CLAIM_PERIOD_MS + MAX_CLOCK_SKEW_MS
    }

    /// Time until which the object must be kept when outcomes are kept for `retention`, in
    /// milliseconds since the Unix epoch.
    #[must_use]
    pub fn keep_until_ms(self, retention: Duration) -> u64 {
        self.end_ms() + millis(retention).max(FIRST_CLAIM_PERIOD_MS) + 2 * MAX_CLOCK_SKEW_MS
    }
}

/// The shard of a key, by a hash of key and customer.
#[must_use]
pub fn shard_of(key: &ClaimKey, shards: u32) -> u32 {
    let mut hasher = blake3::Hasher::new_derive_key("guavahold 2026 claim shard");
    hasher.update(key.key.as_bytes());
    hasher.update(key.customer.as_bytes());
    let bytes = *hasher.finalize().as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) % shards.max(1)
}

/// Timestamp of a key, in milliseconds since the Unix epoch; `None` when the key is not a version 7
/// UUID.
pub(crate) fn key_timestamp_ms(key: &ClaimKey) -> Option<u64> {
    let (seconds, nanos) = (key.key.get_version_num() == 7)
        .then(|| key.key.get_timestamp())
        .flatten()?
        .to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}

/// Whether a key's timestamp is neither older than the retention nor too far in the future.
pub(crate) fn is_in_accepted_range(req: &ClaimRequest, now_ms: u64) -> bool {
    key_timestamp_ms(&req.key).is_some_and(|at| {
        at <= now_ms + MAX_KEY_AHEAD_MS && now_ms.saturating_sub(at) <= millis(req.retention)
    })
}

/// Whether the claim's object has expired on every VM's clock, so that settling or releasing the
/// claim has no effect any more.
pub(crate) fn is_expired(claim: &Claim, now_ms: u64) -> bool {
    let keep_ms = millis(claim.retention).max(FIRST_CLAIM_PERIOD_MS) + 4 * MAX_CLOCK_SKEW_MS;
    key_timestamp_ms(&claim.key).is_none_or(|at| now_ms > at + BUCKET_SPAN_MS + keep_ms)
}

/// Whole milliseconds of a duration, limited so that sums with timestamps do not overflow.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX / 4)
}
