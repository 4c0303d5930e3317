//! What all parts of a claim table share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::FutureExt;
use log::Level;

use crate::claim::breaker::Breaker;
use crate::claim::cached::Cached;
use crate::claim::claimant::{Claimants, entry_of};
use crate::claim::counters::{Counters, count};
use crate::claim::lane::Lane;
use crate::claim::{Holder, ShardState, Window, owners};
use crate::clock::unix_ms;
use crate::peer::PeerLinks;
use crate::platform::{Object, Platform, PlatformError};
use crate::prelude::*;
use crate::telemetry::log_event;

/// Longest time one platform call may take.
const CALL_TIME: Duration = Duration::from_secs(2);
/// Time that claimants get to record outcomes once the platform answers again.
const RECOVERY_TIME: Duration = Duration::from_secs(30);
/// Writes a second that all shards together may use.
const WRITES_PER_SECOND: u32 = 300;

pub(crate) struct Core {
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) links: Arc<dyn PeerLinks>,
    pub(crate) executor: Arc<Executor<'static>>,
    pub(crate) entry: Name,
    pub(crate) claimants: Claimants,
    pub(crate) counters: Counters,
    pub(crate) lanes: Vec<Lane>,
    pub(crate) draining: AtomicBool,
    pub(crate) seq: AtomicU64,
    pub(crate) acks: Mutex<HashMap<u64, async_channel::Sender<()>>>,
    breaker: Mutex<Breaker>,
    open: Mutex<HashMap<Name, Started>>,
    started: Instant,
}

/// When an attempt started, by two clocks: one may stand still while its VM is paused, the other may
/// be set back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Started {
    monotonic: Instant,
    unix_ms: u64,
    total: Duration,
}

impl Started {
    /// An attempt that starts now and whose run ends within `total`.
    pub(crate) fn now(total: Duration) -> Self {
        Self {
            monotonic: Instant::now(),
            unix_ms: unix_ms(),
            total,
        }
    }

    /// Tells whether the attempt may still be dispatched, by the clock that is ahead.
    pub(crate) fn may_dispatch(self) -> bool {
        let wall = unix_ms().saturating_sub(self.unix_ms);
        self.monotonic.elapsed().max(Duration::from_millis(wall)) < self.total
    }
}

impl Core {
    pub(crate) fn new(
        platform: Arc<dyn Platform>,
        entry: Name,
        shards: u32,
        links: Arc<dyn PeerLinks>,
        executor: Arc<Executor<'static>>,
    ) -> Self {
        let shards = shards.max(1);
        let spacing = Duration::from_secs(1) * shards / WRITES_PER_SECOND;
        Self {
            platform,
            links,
            executor,
            claimants: Claimants::new(entry.clone()),
            entry,
            counters: Counters::default(),
            lanes: (0..shards).map(|_| Lane::new(spacing)).collect(),
            draining: AtomicBool::new(false),
            seq: AtomicU64::new(0),
            acks: Mutex::default(),
            breaker: Mutex::new(Breaker::new(fastrand::u64(..))),
            open: Mutex::default(),
            started: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.started.elapsed()
    }

    pub(crate) fn shards(&self) -> u32 {
        u32::try_from(self.lanes.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn breaker(&self) -> MutexGuard<'_, Breaker> {
        self.breaker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Claimants of this process whose end is not yet in the platform, by the time they started.
    pub(crate) fn open(&self) -> MutexGuard<'_, HashMap<Name, Started>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Entries in the order in which they own a shard.
    pub(crate) fn owners(&self, shard: u32) -> Vec<Name> {
        let draining = self.draining.load(Ordering::Relaxed);
        let own = (!draining).then_some(&self.entry);
        owners(shard, own, &self.links.live())
    }

    /// What is known of the process behind a claimant; `live` holds the names of live peers.
    pub(crate) fn holder(&self, claimant: &str, live: &[Name]) -> Holder {
        if self.claimants.made(claimant) {
            let open = self.open().contains_key(claimant);
            return if open {
                Holder::Recovering
            } else {
                Holder::Gone
            };
        }
        let entry = entry_of(claimant);
        if !live.iter().any(|n| **n == *entry) {
            return Holder::Silent;
        }
        let now = self.now();
        let recovered = self
            .breaker()
            .closed_since()
            .is_some_and(|since| since == Timestamp::ZERO || now >= since + RECOVERY_TIME);
        if recovered {
            Holder::Live
        } else {
            Holder::Recovering
        }
    }

    /// Reads the object of a window.
    pub(crate) async fn read(&self, window: Window) -> Result<Cached, PlatformError> {
        count(&self.counters.reads, 1);
        let name = window.name();
        let call = self.platform.get(ShardState::KIND, &name);
        let object = self.call(call).await?;
        let seen = Some(self.now());
        let Some(object) = object else {
            return Ok(Cached::absent(seen));
        };
        let state = object.decode();
        let state = state.map_err(|err| PlatformError::Rejected(err.to_string()))?;
        Ok(Cached {
            version: Some(object.version),
            state,
            seen,
        })
    }

    /// Writes the object of a window if its version is still `cached.version`.
    pub(crate) async fn write(
        &self,
        window: Window,
        cached: Cached,
    ) -> Result<Cached, PlatformError> {
        let spec = serde_json::to_value(&cached.state);
        let spec = spec.map_err(|err| PlatformError::Rejected(err.to_string()))?;
        count(&self.counters.writes, 1);
        count(&self.counters.bytes, cached.state.estimated_bytes());
        let mut object = Object::new(ShardState::KIND, window.name(), spec);
        let written = if let Some(version) = cached.version {
            object.version = version;
            self.call(self.platform.update(object)).await
        } else {
            self.call(self.platform.create(object)).await
        };
        if matches!(written, Err(PlatformError::Conflict)) {
            count(&self.counters.conflicts, 1);
        }
        Ok(Cached {
            version: Some(written?.version),
            state: cached.state,
            seen: Some(self.now()),
        })
    }

    /// Bounds a call in time and reports its end to the breaker.
    pub(crate) async fn call<T>(
        &self,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let late = async {
            Timer::after(CALL_TIME).await;
            Err(PlatformError::Unanswered("no answer in time".into()))
        };
        let result = call.or(late).await;
        let now = self.now();
        match &result {
            Ok(_)
            | Err(PlatformError::Conflict | PlatformError::NotFound | PlatformError::Expired) => {
                if self.breaker().succeed(now) {
                    log_event(Level::Info, "claims_resumed", &[]);
                }
            }
            Err(err) => {
                if self.breaker().fail(now) {
                    log_event(Level::Warn, "claims_refused", &[("cause", err)]);
                }
            }
        }
        result
    }
}
