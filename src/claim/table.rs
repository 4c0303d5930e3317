//! The claim table of one entry.

use std::sync::atomic::Ordering;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future::Boxed;

use crate::claim::collect::ROUND;
use crate::claim::core::Core;
use crate::claim::delivery::Delivery;
use crate::claim::{
    Claim, ClaimCounts, ClaimError, ClaimOutcome, ClaimRequest, ClaimVerdict, Claims,
};
use crate::peer::{PeerInfo, PeerLinks, PeerMessage};
use crate::platform::Platform;
use crate::prelude::*;

/// The table of claims, kept in the platform; clones share it.
#[derive(Clone)]
pub struct ClaimTable(Arc<Core>);

type Decision = Result<ClaimVerdict, ClaimError>;

impl ClaimTable {
    /// Makes the table of one entry; its writes run on `executor`.
    #[must_use]
    pub fn new(
        platform: Arc<dyn Platform>,
        entry: Name,
        shards: u32,
        links: Arc<dyn PeerLinks>,
        executor: Arc<Executor<'static>>,
    ) -> Self {
        let core = Core::new(platform, entry, shards, links, executor);
        Self(Arc::new(core))
    }

    /// Commits a claim for a peer that takes this entry for the owner of the shard.
    #[must_use]
    pub fn serve(&self, claimant: Name, req: ClaimRequest) -> Boxed<Decision> {
        let core = self.0.clone();
        Box::pin(async move { core.serve(claimant, req).await })
    }

    /// Takes a message from a peer; `false` when it does not concern the ends of claims.
    #[must_use]
    pub fn on_message(&self, from: &PeerInfo, message: &PeerMessage) -> bool {
        match message {
            PeerMessage::EndClaim {
                seq,
                claim,
                outcome,
            } => {
                let (core, from, seq) = (self.0.clone(), from.name.clone(), *seq);
                let (claim, outcome) = (claim.clone(), outcome.clone());
                let end = async move {
                    if core.end_here(&claim, outcome.as_ref()).await {
                        core.links.send(&from, PeerMessage::ClaimEnded { seq });
                    }
                };
                self.0.executor.spawn(end).detach();
                true
            }
            PeerMessage::ClaimEnded { seq } => {
                if let Some(tx) = self.0.acks().remove(seq) {
                    let _ = tx.try_send(());
                }
                true
            }
            _ => false,
        }
    }

    /// Deletes outdated claims of the shards that this entry owns, until it is dropped.
    pub async fn run(&self) {
        loop {
            self.collect().await;
            Timer::after(ROUND).await;
        }
    }

    /// Deletes outdated claims of the shards that this entry owns, once.
    pub async fn collect(&self) {
        self.0.collect().await;
    }

    /// Leaves the shards to the peers, because this entry is shutting down.
    pub fn drain(&self) {
        self.0.draining.store(true, Ordering::Relaxed);
    }

    /// Work done so far.
    #[must_use]
    pub fn counts(&self) -> ClaimCounts {
        self.0.counters.counts()
    }

    fn end(&self, claim: Claim, outcome: Option<ClaimOutcome>) -> Boxed<()> {
        let (tx, rx) = async_channel::bounded(1);
        let core = self.0.clone();
        let end = async move {
            core.end(claim, outcome).await;
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
        let undo = {
            let this = self.clone();
            move |decision: Decision| this.give_back(decision)
        };
        let (delivery, receiver) = Delivery::new(undo);
        let this = self.clone();
        let commit = async move {
            let decision = this.0.claim(req).await;
            if let Some(decision) = delivery.put(decision) {
                this.give_back(decision);
            }
        };
        self.0.executor.spawn(commit).detach();
        Box::pin(async move {
            let decision = receiver.take().await;
            decision.unwrap_or(Err(ClaimError::PlatformDown {
                retry_after: Duration::from_secs(1),
            }))
        })
    }

    fn may_dispatch(&self, claim: &Claim) -> bool {
        let open = self.0.open();
        open.get(&claim.claimant)
            .is_some_and(|started| started.may_dispatch())
    }

    fn settle(&self, claim: Claim, outcome: ClaimOutcome) -> Boxed<()> {
        self.end(claim, Some(outcome))
    }

    fn release(&self, claim: Claim) -> Boxed<()> {
        self.end(claim, None)
    }

    fn pending(&self) -> usize {
        self.0.open().len()
    }
}

impl ClaimTable {
    /// Releases a claim whose caller left before it learnt of the grant.
    fn give_back(&self, decision: Decision) {
        if let Ok(ClaimVerdict::Granted(claim)) = decision {
            let end = self.0.clone().end(claim, None);
            self.0.executor.spawn(end).detach();
        }
    }
}
