//! Ways of an operation: the shard's owner, this entry itself, or a peer in another domain.

use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Instant;

use async_io::Timer;
use futures_lite::FutureExt;

use crate::claim::core::{Core, Started};
use crate::claim::lane::LaneResult;
use crate::claim::window::{in_window, is_forgotten};
use crate::claim::{
    Claim, ClaimError, ClaimOp, ClaimOutcome, ClaimRequest, ClaimVerdict, OpResult, Window,
};
use crate::clock::unix_ms;
use crate::peer::PeerMessage;
use crate::prelude::*;

/// Claims not yet ended at one entry at most.
const MAX_OPEN: usize = 20_000;
/// Longest wait for the owner's answer.
const FORWARD_TIME: Duration = Duration::from_secs(1);
/// Time after which no further way is tried.
const CLAIM_TIME: Duration = Duration::from_secs(3);
/// Pause of a caller when no better one is known.
const RETRY: Duration = Duration::from_secs(1);
/// Bound of the first delay before the end of a claim is recorded again; it doubles.
const FIRST_DELAY: Duration = Duration::from_millis(200);
/// Longest delay before the end of a claim is recorded again.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// One way to commit a claim.
enum Way {
    /// This entry's own lane.
    Here,
    /// The lane of a peer.
    Peer(Name),
}

impl Core {
    /// Commits a claim; each way is tried with a claimant of its own.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        req: ClaimRequest,
    ) -> Result<ClaimVerdict, ClaimError> {
        let window = Window::of(&req.key, self.shards());
        let Some(window) = window.filter(|_| in_window(&req, unix_ms())) else {
            return Ok(ClaimVerdict::OutOfWindow);
        };
        if self.open().len() >= MAX_OPEN {
            return Err(ClaimError::Overloaded { retry_after: RETRY });
        }
        let started = Instant::now();
        let mut refusal = ClaimError::PlatformDown { retry_after: RETRY };
        let mut earlier = None;
        for way in self.ways(window.shard) {
            let claimant = self.claimants.next();
            self.open()
                .insert(claimant.clone(), Started::now(req.total));
            match self.attempt(way, &claimant, &req, earlier.clone()).await {
                LaneResult::Done(result) => return self.decided(&claimant, result),
                LaneResult::NotWritten(err) => {
                    self.open().remove(&claimant);
                    if matches!(err, ClaimError::Overloaded { .. }) {
                        return Err(err);
                    }
                    refusal = err;
                }
                LaneResult::Unresolved => {
                    self.release_later(&claimant, &req);
                    earlier = Some(claimant);
                }
            }
            if started.elapsed() > CLAIM_TIME {
                break;
            }
        }
        Err(refusal)
    }

    /// Commits a claim for a peer through the own lane.
    pub(crate) async fn serve(
        self: &Arc<Self>,
        claimant: Name,
        req: ClaimRequest,
    ) -> Result<ClaimVerdict, ClaimError> {
        let op = ClaimOp::Claim {
            claimant: claimant.clone(),
            req: req.clone(),
            instead_of: None,
        };
        match self.submit(op).await {
            LaneResult::Done(OpResult::Verdict(verdict)) => Ok(verdict),
            LaneResult::Done(OpResult::Failed(err)) | LaneResult::NotWritten(err) => Err(err),
            LaneResult::Done(OpResult::Ended) => unreachable!("a claim has a verdict"),
            LaneResult::Unresolved => {
                // The requester never dispatches under a claimant whose attempt failed.
                self.release_later(&claimant, &req);
                Err(ClaimError::PlatformDown { retry_after: RETRY })
            }
        }
    }

    /// Records the end of a claim, again and again until it is stored or too old to matter.
    pub(crate) async fn end(self: Arc<Self>, claim: Claim, outcome: Option<ClaimOutcome>) {
        let mut bound = FIRST_DELAY;
        while !is_forgotten(&claim, unix_ms()) {
            if self.try_end(&claim, outcome.as_ref()).await {
                break;
            }
            Timer::after(bound.mul_f64(fastrand::f64())).await;
            bound = (bound * 2).min(MAX_DELAY);
        }
        self.open().remove(&claim.claimant);
    }

    /// Records the end of a claim through the own lane; tells whether it is stored.
    pub(crate) async fn end_here(
        self: &Arc<Self>,
        claim: &Claim,
        outcome: Option<&ClaimOutcome>,
    ) -> bool {
        let claim = claim.clone();
        let op = match outcome.cloned() {
            Some(outcome) => ClaimOp::Settle { claim, outcome },
            None => ClaimOp::Release { claim },
        };
        matches!(self.submit(op).await, LaneResult::Done(_))
    }

    /// Frees a key in the background; its claimant never dispatches.
    pub(crate) fn release_later(self: &Arc<Self>, claimant: &Name, req: &ClaimRequest) {
        let claim = Claim {
            key: req.key.clone(),
            claimant: claimant.clone(),
            retention: req.retention,
        };
        self.executor.spawn(self.clone().end(claim, None)).detach();
    }

    fn ways(&self, shard: u32) -> SmallVec<[Way; 3]> {
        let owners = self.owners(shard);
        let live = self.links.live();
        let domain_of = |name: &Name| live.iter().find(|p| p.name == *name).map(|p| &p.domain);
        let mut ways = SmallVec::new();
        let owner = owners.first().filter(|name| **name != self.entry);
        ways.extend(owner.cloned().map(Way::Peer));
        ways.push(Way::Here);
        let used = owner.and_then(domain_of);
        let others = owners.iter().filter(|name| **name != self.entry);
        let other = others
            .filter(|name| Some(*name) != owner)
            .min_by_key(|name| domain_of(name) == used);
        ways.extend(other.cloned().map(Way::Peer));
        ways
    }

    async fn attempt(
        self: &Arc<Self>,
        way: Way,
        claimant: &Name,
        req: &ClaimRequest,
        instead_of: Option<Name>,
    ) -> LaneResult {
        let Way::Peer(peer) = way else {
            let op = ClaimOp::Claim {
                claimant: claimant.clone(),
                req: req.clone(),
                instead_of,
            };
            return self.submit(op).await;
        };
        let call = self.links.claim(&peer, claimant.clone(), req.clone());
        let late = async {
            Timer::after(FORWARD_TIME).await;
            None
        };
        match call.or(late).await {
            Some(Ok(ClaimVerdict::Granted(claim))) if claim.claimant != *claimant => {
                LaneResult::Unresolved
            }
            Some(Ok(verdict)) => LaneResult::Done(OpResult::Verdict(verdict)),
            Some(Err(err)) => LaneResult::NotWritten(err),
            None => LaneResult::Unresolved,
        }
    }

    fn decided(&self, claimant: &Name, result: OpResult) -> Result<ClaimVerdict, ClaimError> {
        match result {
            OpResult::Verdict(ClaimVerdict::Granted(claim)) => {
                assert_eq!(claim.claimant, *claimant, "granted to another claimant");
                Ok(ClaimVerdict::Granted(claim))
            }
            OpResult::Verdict(verdict) => {
                self.open().remove(claimant);
                Ok(verdict)
            }
            OpResult::Failed(err) => {
                self.open().remove(claimant);
                Err(err)
            }
            OpResult::Ended => unreachable!("a claim has a verdict"),
        }
    }

    async fn try_end(self: &Arc<Self>, claim: &Claim, outcome: Option<&ClaimOutcome>) -> bool {
        let Some(window) = Window::of(&claim.key, self.shards()) else {
            return true;
        };
        let owner = self.owners(window.shard).into_iter().next();
        let owner = owner.filter(|name| *name != self.entry);
        if let Some(owner) = owner
            && self.end_at(&owner, claim, outcome).await
        {
            return true;
        }
        self.end_here(claim, outcome).await
    }

    async fn end_at(&self, owner: &str, claim: &Claim, outcome: Option<&ClaimOutcome>) -> bool {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = async_channel::bounded(1);
        self.acks().insert(seq, tx);
        let message = PeerMessage::EndClaim {
            seq,
            claim: claim.clone(),
            outcome: outcome.cloned(),
        };
        let sent = self.links.send(owner, message);
        let late = async {
            Timer::after(FORWARD_TIME).await;
            false
        };
        let acked = sent && async { rx.recv().await.is_ok() }.or(late).await;
        self.acks().remove(&seq);
        acked
    }

    pub(crate) fn acks(
        &self,
    ) -> std::sync::MutexGuard<'_, std::collections::HashMap<u64, async_channel::Sender<()>>> {
        self.acks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
