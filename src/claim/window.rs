//! Time windows of claim keys.

use crate::claim::{Claim, ClaimKey, ClaimRequest};
use crate::prelude::*;

/// Time covered by one object, in milliseconds.
const WINDOW_MS: u64 = 10_000;
/// Start of a span in which its object is expected to be missing, in milliseconds.
const BEGIN_MS: u64 = 500;
/// Age of a key, in milliseconds, up to which it may be claimed for the first time; objects live
/// longer, so that a key of a collected object is never claimed again.
const OPEN_MS: u64 = 3_600_000;
/// Largest difference between the clocks of two VMs, in milliseconds.
pub(crate) const SKEW_MS: u64 = 5_000;
/// How far a caller's clock may be ahead, in milliseconds.
const AHEAD_MS: u64 = 60_000;

/// A span of key times within one shard; its claims are one object of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Window {
    /// Shard.
    pub shard: u32,
    /// Number of the span since the Unix epoch.
    pub index: u64,
}

impl Window {
    /// The window of a key; `None` when the key is not a UUID of version 7.
    #[must_use]
    pub fn of(key: &ClaimKey, shards: u32) -> Option<Self> {
        Some(Self {
            shard: shard_of(key, shards),
            index: key_ms(key)? / WINDOW_MS,
        })
    }

    /// The newest window of a shard that may be collected at `now_ms`, if its object agrees.
    #[must_use]
    pub fn collectable(shard: u32, now_ms: u64) -> Self {
        let end = now_ms.saturating_sub(OPEN_MS + 2 * SKEW_MS);
        let index = (end / WINDOW_MS).saturating_sub(1);
        Self { shard, index }
    }

    /// Name of the window's object.
    #[must_use]
    pub fn name(self) -> Name {
        format!("{}-{}", self.shard, self.index).into()
    }

    /// End of the span, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn end_ms(self) -> u64 {
        (self.index + 1) * WINDOW_MS
    }

    /// Tells whether keys of this window may be claimed for the first time at `now_ms`. Later only
    /// outcomes are told, since an object found then may have been made anew by a late write.
    #[must_use]
    pub fn is_open(self, now_ms: u64) -> bool {
        now_ms <= self.end_ms() + OPEN_MS
    }

    /// Tells whether the span has only begun, so that its object is likely to be missing.
    pub(crate) fn is_current(self, now_ms: u64) -> bool {
        let begin = self.index * WINDOW_MS;
        (begin..begin + BEGIN_MS).contains(&now_ms)
    }

    /// Tells whether a claim may be granted that created the object by `now_ms`: a writer that
    /// paused in between may have made an object anew that was collected.
    #[must_use]
    pub fn may_grant(self, now_ms: u64) -> bool {
        now_ms < self.end_ms() + OPEN_MS + SKEW_MS
    }

    /// Earliest time at which the object is collected when outcomes are kept for `retention`, in
    /// milliseconds since the Unix epoch.
    #[must_use]
    pub fn keep_until_ms(self, retention: Duration) -> u64 {
        self.end_ms() + millis(retention).max(OPEN_MS) + 2 * SKEW_MS
    }
}

/// The shard of a key, by the hash of customer and key.
#[must_use]
pub fn shard_of(key: &ClaimKey, shards: u32) -> u32 {
    let mut hasher = blake3::Hasher::new_derive_key("guavahold 2026 claim shard");
    hasher.update(key.key.as_bytes());
    hasher.update(key.customer.as_bytes());
    let bytes = *hasher.finalize().as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) % shards.max(1)
}

/// A key's own time, in milliseconds since the Unix epoch.
pub(crate) fn key_ms(key: &ClaimKey) -> Option<u64> {
    let (seconds, nanos) = (key.key.get_version_num() == 7)
        .then(|| key.key.get_timestamp())
        .flatten()?
        .to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}

/// Tells whether a key is neither older than its retention nor ahead of every clock.
pub(crate) fn in_window(req: &ClaimRequest, now_ms: u64) -> bool {
    key_ms(&req.key).is_some_and(|at| {
        at <= now_ms + AHEAD_MS && now_ms.saturating_sub(at) <= millis(req.retention)
    })
}

/// Tells whether the claim's object is collected, so that its end no longer matters.
pub(crate) fn is_forgotten(claim: &Claim, now_ms: u64) -> bool {
    let kept = millis(claim.retention).max(OPEN_MS) + 4 * SKEW_MS;
    key_ms(&claim.key).is_none_or(|at| now_ms > at + WINDOW_MS + kept)
}

/// Whole milliseconds of a duration.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX / 4)
}
