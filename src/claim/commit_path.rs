//! Commits claims and their ends through the shard's owner, with fallbacks.
//!
//! The owner is tried first so that one entry batches the writes of a shard. Fallbacks for a claim
//! are this entry's own shard writer and a peer, in another failure domain than the owner if
//! possible; the fallback for the end of a claim is the own shard writer.

use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Instant;

use async_io::Timer;
use futures_lite::FutureExt;

use crate::claim::inner::{AttemptStart, Inner};
use crate::claim::shard_writer::CommitResult;
use crate::claim::time_bucket::{is_expired, is_in_accepted_range};
use crate::claim::{
    Claim, ClaimError, ClaimOp, ClaimOutcome, ClaimRequest, ClaimVerdict, OpResult, TimeBucket,
};
use crate::clock::unix_ms;
use crate::peer::PeerMessage;
use crate::prelude::*;

/// Most claimants pending at one entry.
const MAX_PENDING_CLAIMANTS: usize = 20_000;
/// Timeout of an operation forwarded to a peer.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a claim tries no further commit path.
const FALLBACK_TIME_LIMIT: Duration = Duration::from_secs(3);
/// `retry_after` of an error when no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Upper bound of the first random delay before the end of a claim is retried; doubles with each
/// retry.
const INITIAL_END_RETRY_BOUND: Duration = Duration::from_millis(200);
/// Longest delay before the end of a claim is retried.
const MAX_END_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Where a claim is committed.
enum CommitPath {
    /// This entry's own shard writer.
    Local,
    /// The shard writer of a peer.
    Peer(Name),
}

impl Inner {
    /// Commits a claim, trying one path after the other. Each path gets a new claimant, because a
    /// claim whose result stayed unknown may still take effect; its claimant is released in the
    /// background.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        req: ClaimRequest,
    ) -> Result<ClaimVerdict, ClaimError> {
        let bucket = TimeBucket::of(&req.key, self.shards());
        let Some(bucket) = bucket.filter(|_| is_in_accepted_range(&req, unix_ms())) else {
            return Ok(ClaimVerdict::OutOfWindow);
        };
        if self.pending().len() >= MAX_PENDING_CLAIMANTS {
            return Err(ClaimError::Overloaded {
                retry_after: DEFAULT_RETRY_AFTER,
            });
        }
        let started = Instant::now();
        let mut last_error = ClaimError::PlatformDown {
            retry_after: DEFAULT_RETRY_AFTER,
        };
        let mut unresolved_claimant = None;
        for path in self.commit_paths(bucket.shard) {
            let claimant = self.claimants.next();
            self.pending()
                .insert(claimant.clone(), AttemptStart::now(req.total_timeout));
            match self
                .try_commit(path, &claimant, &req, unresolved_claimant.clone())
                .await
            {
                CommitResult::Done(result) => return self.finish_claim(&claimant, result),
                CommitResult::NotWritten(err) => {
                    self.pending().remove(&claimant);
                    if matches!(err, ClaimError::Overloaded { .. }) {
                        return Err(err);
                    }
                    last_error = err;
                }
                CommitResult::Unresolved => {
                    self.release_in_background(&claimant, &req);
                    unresolved_claimant = Some(claimant);
                }
            }
            if started.elapsed() > FALLBACK_TIME_LIMIT {
                break;
            }
        }
        Err(last_error)
    }

    /// Commits a peer's claim through the own shard writer.
    pub(crate) async fn claim_for_peer(
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
            CommitResult::Done(OpResult::Verdict(verdict)) => Ok(verdict),
            CommitResult::Done(OpResult::Failed(err)) | CommitResult::NotWritten(err) => Err(err),
            CommitResult::Done(OpResult::ClaimEnded) => {
                unreachable!("a claim operation returns a verdict")
            }
            CommitResult::Unresolved => {
                // The peer never dispatches under a claimant whose forwarded claim failed.
                self.release_in_background(&claimant, &req);
                Err(ClaimError::PlatformDown {
                    retry_after: DEFAULT_RETRY_AFTER,
                })
            }
        }
    }

    /// Settles a claim with its outcome, or releases it without one; retries until that is stored
    /// or the claim's object has expired.
    pub(crate) async fn end(self: Arc<Self>, claim: Claim, outcome: Option<ClaimOutcome>) {
        let mut bound = INITIAL_END_RETRY_BOUND;
        while !is_expired(&claim, unix_ms()) {
            if self.try_end(&claim, outcome.as_ref()).await {
                break;
            }
            Timer::after(bound.mul_f64(fastrand::f64())).await;
            bound = (bound * 2).min(MAX_END_RETRY_DELAY);
        }
        self.pending().remove(&claim.claimant);
    }

    /// Settles or releases a claim through the own shard writer; returns whether that is stored.
    pub(crate) async fn end_locally(
        self: &Arc<Self>,
        claim: &Claim,
        outcome: Option<&ClaimOutcome>,
    ) -> bool {
        let claim = claim.clone();
        let op = match outcome.cloned() {
            Some(outcome) => ClaimOp::Settle { claim, outcome },
            None => ClaimOp::Release { claim },
        };
        matches!(self.submit(op).await, CommitResult::Done(_))
    }

    /// Releases a claim in the background, committed or not; its claimant must never dispatch.
    pub(crate) fn release_in_background(self: &Arc<Self>, claimant: &Name, req: &ClaimRequest) {
        let claim = Claim {
            key: req.key.clone(),
            claimant: claimant.clone(),
            retention: req.retention,
        };
        self.executor.spawn(self.clone().end(claim, None)).detach();
    }

    /// Paths to commit a claim on a shard, in the order in which they are tried.
    fn commit_paths(&self, shard: u32) -> SmallVec<[CommitPath; 3]> {
        let ranked = self.ranked_owners(shard);
        let live = self.links.live();
        let domain_of = |name: &Name| live.iter().find(|p| p.name == *name).map(|p| &p.domain);
        let mut paths = SmallVec::new();
        let owner = ranked.first().filter(|name| **name != self.entry);
        paths.extend(owner.cloned().map(CommitPath::Peer));
        paths.push(CommitPath::Local);
        let owner_domain = owner.and_then(domain_of);
        let others = ranked.iter().filter(|name| **name != self.entry);
        let other = others
            .filter(|name| Some(*name) != owner)
            .min_by_key(|name| domain_of(name) == owner_domain);
        paths.extend(other.cloned().map(CommitPath::Peer));
        paths
    }

    /// Commits a claim through one path.
    async fn try_commit(
        self: &Arc<Self>,
        path: CommitPath,
        claimant: &Name,
        req: &ClaimRequest,
        instead_of: Option<Name>,
    ) -> CommitResult {
        let CommitPath::Peer(peer) = path else {
            let op = ClaimOp::Claim {
                claimant: claimant.clone(),
                req: req.clone(),
                instead_of,
            };
            return self.submit(op).await;
        };
        let call = self.links.claim(&peer, claimant.clone(), req.clone());
        let timeout = async {
            Timer::after(FORWARD_TIMEOUT).await;
            None
        };
        match call.or(timeout).await {
            Some(Ok(ClaimVerdict::Granted(claim))) if claim.claimant != *claimant => {
                CommitResult::Unresolved
            }
            Some(Ok(verdict)) => CommitResult::Done(OpResult::Verdict(verdict)),
            Some(Err(err)) => CommitResult::NotWritten(err),
            None => CommitResult::Unresolved,
        }
    }

    /// Turns a committed result into the decision; the claimant stays pending only when granted.
    fn finish_claim(&self, claimant: &Name, result: OpResult) -> Result<ClaimVerdict, ClaimError> {
        match result {
            OpResult::Verdict(ClaimVerdict::Granted(claim)) => {
                assert_eq!(
                    claim.claimant, *claimant,
                    "claim was granted to another claimant"
                );
                Ok(ClaimVerdict::Granted(claim))
            }
            OpResult::Verdict(verdict) => {
                self.pending().remove(claimant);
                Ok(verdict)
            }
            OpResult::Failed(err) => {
                self.pending().remove(claimant);
                Err(err)
            }
            OpResult::ClaimEnded => unreachable!("a claim operation returns a verdict"),
        }
    }

    /// Settles or releases a claim once, through the owner or else the own shard writer; returns
    /// whether that is stored.
    async fn try_end(self: &Arc<Self>, claim: &Claim, outcome: Option<&ClaimOutcome>) -> bool {
        let Some(bucket) = TimeBucket::of(&claim.key, self.shards()) else {
            return true;
        };
        let owner = self.ranked_owners(bucket.shard).into_iter().next();
        let owner = owner.filter(|name| *name != self.entry);
        if let Some(owner) = owner
            && self.end_at_owner(&owner, claim, outcome).await
        {
            return true;
        }
        self.end_locally(claim, outcome).await
    }

    /// Has the owner settle or release a claim; returns whether it acknowledged that in time.
    async fn end_at_owner(
        &self,
        owner: &str,
        claim: &Claim,
        outcome: Option<&ClaimOutcome>,
    ) -> bool {
        let seq = self.next_end_seq.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = async_channel::bounded(1);
        self.end_acks().insert(seq, tx);
        let message = PeerMessage::EndClaim {
            seq,
            claim: claim.clone(),
            outcome: outcome.cloned(),
        };
        let sent = self.links.send(owner, message);
        let timeout = async {
            Timer::after(FORWARD_TIMEOUT).await;
            false
        };
        let acknowledged = sent && async { rx.recv().await.is_ok() }.or(timeout).await;
        self.end_acks().remove(&seq);
        acknowledged
    }

    /// Waiters for the acknowledgement of an `EndClaim` message, by its number.
    pub(crate) fn end_acks(
        &self,
    ) -> std::sync::MutexGuard<'_, std::collections::HashMap<u64, async_channel::Sender<()>>> {
        self.end_acks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
