//! Claims kept in the platform.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use async_executor::Executor;
use futures_lite::future::Boxed;

use crate::claim::shard::DISPATCH_TIME;
use crate::claim::{
    Claim, ClaimError, ClaimOp, ClaimOutcome, ClaimRequest, ClaimVerdict, Claims, Holder, OpResult,
    ShardState, Window,
};
use crate::clock::unix_ms;
use crate::peer::PeerLinks;
use crate::platform::{Object, Platform, PlatformError};
use crate::prelude::*;

/// Pause before a caller comes back while the platform is down.
const DOWN_RETRY: Duration = Duration::from_secs(1);
/// Writes tried for one operation while other writers are first.
const MAX_TRIES: u32 = 16;

/// The table of claims, kept in the platform.
#[derive(Clone)]
pub struct ClaimTable(Arc<Inner>);

struct Inner {
    platform: Arc<dyn Platform>,
    entry: Name,
    boot: u64,
    counter: AtomicU64,
    shards: u32,
    #[allow(dead_code)]
    links: Arc<dyn PeerLinks>,
    executor: Arc<Executor<'static>>,
    open: Mutex<HashMap<Name, Instant>>,
}

impl ClaimTable {
    /// Makes the table of one entry.
    #[must_use]
    pub fn new(
        platform: Arc<dyn Platform>,
        entry: Name,
        shards: u32,
        links: Arc<dyn PeerLinks>,
        executor: Arc<Executor<'static>>,
    ) -> Self {
        Self(Arc::new(Inner {
            platform,
            entry,
            boot: fastrand::u64(..),
            counter: AtomicU64::new(0),
            shards: shards.max(1),
            links,
            executor,
            open: Mutex::default(),
        }))
    }

    /// Commits a claim for a peer that takes this entry for the owner of the shard.
    #[must_use]
    pub fn serve(
        &self,
        claimant: Name,
        req: ClaimRequest,
    ) -> Boxed<Result<ClaimVerdict, ClaimError>> {
        let this = self.0.clone();
        Box::pin(async move { this.claim(claimant, req).await })
    }
}

impl Inner {
    fn open(&self) -> std::sync::MutexGuard<'_, HashMap<Name, Instant>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn claim(&self, claimant: Name, req: ClaimRequest) -> Result<ClaimVerdict, ClaimError> {
        match self.commit(&ClaimOp::Claim { claimant, req }).await {
            Ok(OpResult::Verdict(verdict)) => Ok(verdict),
            Ok(OpResult::Failed(err)) => Err(err),
            Ok(OpResult::Ended) | Err(_) => Err(ClaimError::PlatformDown {
                retry_after: DOWN_RETRY,
            }),
        }
    }

    async fn commit(&self, op: &ClaimOp) -> Result<OpResult, PlatformError> {
        let Some(window) = Window::of(op.key(), self.shards) else {
            return Ok(OpResult::Verdict(ClaimVerdict::OutOfWindow));
        };
        for _ in 0..MAX_TRIES {
            let old = self.platform.get(ShardState::KIND, &window.name()).await?;
            let mut state: ShardState = match &old {
                Some(object) => object
                    .decode()
                    .map_err(|err| PlatformError::Rejected(err.to_string()))?,
                None => ShardState::default(),
            };
            if old.is_none() && !window.may_create(unix_ms()) {
                return Ok(OpResult::Verdict(ClaimVerdict::OutOfWindow));
            }
            let applied = state.apply(unix_ms(), window, [op], |_| Holder::Silent);
            let result = applied.results.into_iter().next();
            let result = result.unwrap_or(OpResult::Ended);
            if !applied.changed {
                return Ok(result);
            }
            let spec = serde_json::to_value(&state)
                .map_err(|err| PlatformError::Rejected(err.to_string()))?;
            let written = if let Some(object) = old {
                self.platform.update(Object { spec, ..object }).await
            } else {
                let object = Object::new(ShardState::KIND, window.name(), spec);
                self.platform.create(object).await
            };
            match written {
                Ok(_) => return Ok(result),
                Err(PlatformError::Conflict | PlatformError::NotFound) => {}
                Err(err) if err.may_have_written() => {}
                Err(err) => return Err(err),
            }
        }
        Err(PlatformError::Conflict)
    }

    async fn end(self: Arc<Self>, op: ClaimOp, claimant: Name) {
        while self.commit(&op).await.is_err() {
            let pause = DOWN_RETRY.mul_f64(fastrand::f64());
            async_io::Timer::after(pause).await;
        }
        self.open().remove(&claimant);
    }

    fn spawn_end(self: &Arc<Self>, op: ClaimOp, claimant: Name) -> Boxed<()> {
        let task = self.executor.spawn(self.clone().end(op, claimant));
        let (tx, rx) = async_channel::bounded(1);
        let forward = async move {
            task.await;
            let _ = tx.send(()).await;
        };
        self.executor.spawn(forward).detach();
        Box::pin(async move {
            let _ = rx.recv().await;
        })
    }
}

impl Claims for ClaimTable {
    fn claim(&self, req: ClaimRequest) -> Boxed<Result<ClaimVerdict, ClaimError>> {
        let this = self.0.clone();
        Box::pin(async move {
            let number = this.counter.fetch_add(1, Ordering::Relaxed);
            let claimant: Name = format!("{}.{:x}.{number}", this.entry, this.boot).into();
            let started = Instant::now();
            let verdict = this.claim(claimant.clone(), req).await?;
            if matches!(verdict, ClaimVerdict::Granted(_)) {
                this.open().insert(claimant, started);
            }
            Ok(verdict)
        })
    }

    fn may_dispatch(&self, claim: &Claim) -> bool {
        let open = self.0.open();
        open.get(&claim.claimant)
            .is_some_and(|at| at.elapsed() < DISPATCH_TIME)
    }

    fn settle(&self, claim: Claim, outcome: ClaimOutcome) -> Boxed<()> {
        let claimant = claim.claimant.clone();
        self.0
            .spawn_end(ClaimOp::Settle { claim, outcome }, claimant)
    }

    fn release(&self, claim: Claim) -> Boxed<()> {
        let claimant = claim.claimant.clone();
        self.0.spawn_end(ClaimOp::Release { claim }, claimant)
    }

    fn pending(&self) -> usize {
        self.0.open().len()
    }
}
