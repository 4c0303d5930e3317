//! The claim table of one entry.

use std::sync::atomic::Ordering;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future::Boxed;

use crate::claim::delivery::Delivery;
use crate::claim::garbage_collection::COLLECTION_INTERVAL;
use crate::claim::inner::Inner;
use crate::claim::{
    Claim, ClaimCounts, ClaimError, ClaimOutcome, ClaimRequest, ClaimVerdict, Claims,
};
use crate::peer::{PeerInfo, PeerLinks, PeerMessage};
use crate::platform::Platform;
use crate::prelude::*;

/// The claim table, stored in the platform and committed to by every entry; clones share one state.
#[derive(Clone)]
pub struct ClaimTable(Arc<Inner>);

type Decision = Result<ClaimVerdict, ClaimError>;

impl ClaimTable {
    /// Creates the claim table of one entry; its background tasks run on `executor`.
    #[must_use]
    pub fn new(
        platform: Arc<dyn Platform>,
        entry: Name,
        shards: u32,
        links: Arc<dyn PeerLinks>,
        executor: Arc<Executor<'static>>,
    ) -> Self {
        let inner = Inner::new(platform, entry, shards, links, executor);
        Self(Arc::new(inner))
    }

    /// Commits a claim forwarded by a peer, which takes this entry for the owner of the shard or
    /// falls back to it.
    #[must_use]
    pub fn claim_for_peer(&self, claimant: Name, req: ClaimRequest) -> Boxed<Decision> {
        let inner = self.0.clone();
        Box::pin(async move { inner.claim_for_peer(claimant, req).await })
    }

    /// Handles a message from a peer; `false` when it is neither `EndClaim` nor `ClaimEnded`.
    #[must_use]
    pub fn on_message(&self, from: &PeerInfo, message: &PeerMessage) -> bool {
        match message {
            PeerMessage::EndClaim {
                seq,
                claim,
                outcome,
            } => {
                let (inner, from, seq) = (self.0.clone(), from.name.clone(), *seq);
                let (claim, outcome) = (claim.clone(), outcome.clone());
                let end = async move {
                    if inner.end_locally(&claim, outcome.as_ref()).await {
                        inner.links.send(&from, PeerMessage::ClaimEnded { seq });
                    }
                };
                self.0.executor.spawn(end).detach();
                true
            }
            PeerMessage::ClaimEnded { seq } => {
                if let Some(tx) = self.0.end_acks().remove(seq) {
                    let _ = tx.try_send(());
                }
                true
            }
            _ => false,
        }
    }

    /// Collects garbage in regular rounds; never returns.
    pub async fn run_garbage_collection(&self) {
        loop {
            self.collect_garbage().await;
            Timer::after(COLLECTION_INTERVAL).await;
        }
    }

    /// Runs one round of garbage collection: deletes expired claim objects in the shards that this
    /// entry owns.
    pub async fn collect_garbage(&self) {
        self.0.collect_garbage().await;
    }

    /// Stops owning shards, because this entry is shutting down; claims still work.
    pub fn drain(&self) {
        self.0.draining.store(true, Ordering::Relaxed);
    }

    /// Operation counters since the start.
    #[must_use]
    pub fn counts(&self) -> ClaimCounts {
        self.0.counters.counts()
    }

    /// Settles or releases a claim in a background task, which goes on if the future is dropped.
    fn end(&self, claim: Claim, outcome: Option<ClaimOutcome>) -> Boxed<()> {
        let (tx, rx) = async_channel::bounded(1);
        let inner = self.0.clone();
        let end = async move {
            inner.end(claim, outcome).await;
            let _ = tx.try_send(());
        };
        self.0.executor.spawn(end).detach();
        Box::pin(async move {
            let _ = rx.recv().await;
        })
    }
}

impl Claims for ClaimTable {
    fn claim(&self, req: ClaimRequest) -> Boxed<Decision> {
        let on_undelivered = {
            let this = self.clone();
            move |decision: Decision| this.release_undelivered(decision)
        };
        let (delivery, receiver) = Delivery::new(on_undelivered);
        let this = self.clone();
        let commit = async move {
            let decision = this.0.claim(req).await;
            if let Some(decision) = delivery.send(decision) {
                this.release_undelivered(decision);
            }
        };
        self.0.executor.spawn(commit).detach();
        Box::pin(async move {
            let decision = receiver.recv().await;
            decision.unwrap_or(Err(ClaimError::PlatformDown {
                retry_after: Duration::from_secs(1),
            }))
        })
    }

    fn may_dispatch(&self, claim: &Claim) -> bool {
        let pending = self.0.pending();
        pending
            .get(&claim.claimant)
            .is_some_and(|attempt| attempt.may_dispatch())
    }

    fn settle(&self, claim: Claim, outcome: ClaimOutcome) -> Boxed<()> {
        self.end(claim, Some(outcome))
    }

    fn release(&self, claim: Claim) -> Boxed<()> {
        self.end(claim, None)
    }

    fn pending(&self) -> usize {
        self.0.pending().len()
    }
}

impl ClaimTable {
    /// Releases a claim that was granted after its caller dropped the future.
    fn release_undelivered(&self, decision: Decision) {
        if let Ok(ClaimVerdict::Granted(claim)) = decision {
            let end = self.0.clone().end(claim, None);
            self.0.executor.spawn(end).detach();
        }
    }
}
