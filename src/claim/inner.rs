//! State shared by the clones of a claim table, and its calls to the platform.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::FutureExt;
use log::Level;

use crate::claim::cached_object::CachedObject;
use crate::claim::circuit_breaker::CircuitBreaker;
use crate::claim::claimant::{ClaimantGenerator, entry_of};
use crate::claim::counters::{Counters, count};
use crate::claim::shard_writer::ShardWriter;
use crate::claim::{BucketState, HolderStatus, TimeBucket, rank_owners};
use crate::clock::unix_ms;
use crate::peer::PeerLinks;
use crate::platform::{Object, Platform, PlatformError};
use crate::prelude::*;
use crate::telemetry::log_event;

/// Timeout of one platform call.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time allowed to claimants for recording outcomes after the platform answers again.
const OUTCOME_RECOVERY_TIME: Duration = Duration::from_secs(30);
/// Limit on batch writes per second over all shards; each shard gets an equal share.
const MAX_WRITES_PER_SECOND: u32 = 300;

/// State behind a [`ClaimTable`](crate::claim::ClaimTable).
pub(crate) struct Inner {
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) links: Arc<dyn PeerLinks>,
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) entry: Name,
    pub(crate) claimants: ClaimantGenerator,
    pub(crate) counters: Counters,
    /// One writer for each shard, by shard number.
    pub(crate) shard_writers: Vec<ShardWriter>,
    pub(crate) draining: AtomicBool,
    /// Number of the next `EndClaim` message.
    pub(crate) next_end_seq: AtomicU64,
    /// Waiters for the acknowledgement of an `EndClaim` message, by its number.
    pub(crate) end_acks: Mutex<HashMap<u64, async_channel::Sender<()>>>,
    breaker: Mutex<CircuitBreaker>,
    pending: Mutex<HashMap<Name, AttemptStart>>,
    started: Instant,
}

/// Start of an attempt on two clocks: the monotonic clock may stop while the VM is paused, and the
/// wall clock may be set back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptStart {
    monotonic: Instant,
    unix_ms: u64,
    total_timeout: Duration,
}

impl AttemptStart {
    /// An attempt that starts now and whose run ends within `total_timeout`.
    pub(crate) fn now(total_timeout: Duration) -> Self {
        Self {
            monotonic: Instant::now(),
            unix_ms: unix_ms(),
            total_timeout,
        }
    }

    /// Whether the attempt may still be dispatched, by the clock that shows the longer time.
    pub(crate) fn may_dispatch(self) -> bool {
        let wall_elapsed_ms = unix_ms().saturating_sub(self.unix_ms);
        self.monotonic
            .elapsed()
            .max(Duration::from_millis(wall_elapsed_ms))
            < self.total_timeout
    }
}

impl Inner {
    pub(crate) fn new(
        platform: Arc<dyn Platform>,
        entry: Name,
        shards: u32,
        links: Arc<dyn PeerLinks>,
        executor: Arc<Executor<'static>>,
    ) -> Self {
        let shards = shards.max(1);
        let write_interval = Duration::from_secs(1) * shards / MAX_WRITES_PER_SECOND;
        Self {
            platform,
            links,
            executor,
            claimants: ClaimantGenerator::new(entry.clone()),
            entry,
            counters: Counters::default(),
            shard_writers: (0..shards)
                .map(|_| ShardWriter::new(write_interval))
                .collect(),
            draining: AtomicBool::new(false),
            next_end_seq: AtomicU64::new(0),
            end_acks: Mutex::default(),
            breaker: Mutex::new(CircuitBreaker::new(fastrand::u64(..))),
            pending: Mutex::default(),
            started: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.started.elapsed()
    }

    pub(crate) fn shards(&self) -> u32 {
        u32::try_from(self.shard_writers.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn breaker(&self) -> MutexGuard<'_, CircuitBreaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Claimants of this process that may hold a claim not yet settled or released in the platform,
    /// with the start of each attempt.
    pub(crate) fn pending(&self) -> MutexGuard<'_, HashMap<Name, AttemptStart>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Live entries in order of preference as owner of a shard; without this one while it drains.
    pub(crate) fn ranked_owners(&self, shard: u32) -> Vec<Name> {
        let draining = self.draining.load(Ordering::Relaxed);
        let own = (!draining).then_some(&self.entry);
        rank_owners(shard, own, &self.links.live())
    }

    /// Status of the process that holds a claim; `live` lists the names of live peers.
    pub(crate) fn holder_status(&self, claimant: &str, live: &[Name]) -> HolderStatus {
        if self.claimants.generated(claimant) {
            let pending = self.pending().contains_key(claimant);
            return if pending {
                HolderStatus::Recovering
            } else {
                HolderStatus::Abandoned
            };
        }
        let entry = entry_of(claimant);
        if !live.iter().any(|n| **n == *entry) {
            return HolderStatus::Unreachable;
        }
        let now = self.now();
        let recovered = self
            .breaker()
            .closed_since()
            .is_some_and(|since| since == Timestamp::ZERO || now >= since + OUTCOME_RECOVERY_TIME);
        if recovered {
            HolderStatus::Live
        } else {
            HolderStatus::Recovering
        }
    }

    /// Reads the object of a time bucket.
    pub(crate) async fn read(&self, bucket: TimeBucket) -> Result<CachedObject, PlatformError> {
        count(&self.counters.reads, 1);
        let name = bucket.object_name();
        let call = self.platform.get(BucketState::KIND, &name);
        let object = self.call(call).await?;
        let confirmed_at = Some(self.now());
        let Some(object) = object else {
            return Ok(CachedObject::absent(confirmed_at));
        };
        let state = object.decode();
        let state = state.map_err(|err| PlatformError::Rejected(err.to_string()))?;
        Ok(CachedObject {
            version: Some(object.version),
            state,
            confirmed_at,
        })
    }

    /// Writes the object of a time bucket if its version in the platform is still `cached.version`.
    pub(crate) async fn write(
        &self,
        bucket: TimeBucket,
        cached: CachedObject,
    ) -> Result<CachedObject, PlatformError> {
        let spec = serde_json::to_value(&cached.state);
        let spec = spec.map_err(|err| PlatformError::Rejected(err.to_string()))?;
        count(&self.counters.writes, 1);
        count(&self.counters.bytes, cached.state.estimated_bytes());
        let mut object = Object::new(BucketState::KIND, bucket.object_name(), spec);
        let written = if let Some(version) = cached.version {
            object.version = version;
            self.call(self.platform.update(object)).await
        } else {
            self.call(self.platform.create(object)).await
        };
        if matches!(written, Err(PlatformError::Conflict)) {
            count(&self.counters.conflicts, 1);
        }
        Ok(CachedObject {
            version: Some(written?.version),
            state: cached.state,
            confirmed_at: Some(self.now()),
        })
    }

    /// Applies the timeout to a platform call and reports its result to the circuit breaker.
    pub(crate) async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let timeout = async {
            Timer::after(PLATFORM_CALL_TIMEOUT).await;
            Err(PlatformError::Unanswered("platform call timed out".into()))
        };
        let result = call.or(timeout).await;
        let now = self.now();
        match &result {
            Ok(_)
            | Err(PlatformError::Conflict | PlatformError::NotFound | PlatformError::Expired) => {
                if self.breaker().record_success(now) {
                    log_event(Level::Info, "claims_resumed", &[]);
                }
            }
            Err(err) => {
                if self.breaker().record_failure(now) {
                    log_event(Level::Warn, "claims_refused", &[("cause", err)]);
                }
            }
        }
        result
    }
}
