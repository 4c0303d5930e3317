//! Claims that are forwarded to the owner of their shard.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use async_channel::{Receiver, Sender};
use futures_lite::future::Boxed;

use crate::claim::{ClaimError, ClaimRequest, ClaimVerdict};
use crate::peer::ConnId;
use crate::prelude::*;

/// Commits claims that peers forward to this entry as the owner of their shard.
pub trait ClaimServer: Send + Sync {
    /// Commits the claim requested by `req` for `claimant`.
    fn claim_for_peer(
        &self,
        claimant: Name,
        req: ClaimRequest,
    ) -> Boxed<Result<ClaimVerdict, ClaimError>>;
}

/// Result of a forwarded claim.
pub(crate) type ClaimResult = Result<ClaimVerdict, ClaimError>;

/// Forwarded claims whose reply is pending, by sequence number.
#[derive(Debug, Default)]
pub(crate) struct ClaimCalls(Mutex<Pending>);

#[derive(Debug, Default)]
struct Pending {
    last_seq: u64,
    by_seq: HashMap<u64, (ConnId, Sender<ClaimResult>)>,
}

impl ClaimCalls {
    /// Registers a call on a connection; returns its sequence number and the receiver of its reply.
    pub(crate) fn start(&self, conn: ConnId) -> (u64, Receiver<ClaimResult>) {
        let (tx, rx) = async_channel::bounded(1);
        let mut pending = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        pending.last_seq += 1;
        let seq = pending.last_seq;
        pending.by_seq.insert(seq, (conn, tx));
        (seq, rx)
    }

    /// Delivers a reply to its caller; one that arrived on another connection is ignored.
    pub(crate) fn complete(&self, conn: ConnId, seq: u64, result: ClaimResult) {
        let mut pending = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let same_conn = pending.by_seq.get(&seq).is_some_and(|(c, _)| *c == conn);
        if same_conn && let Some((_, tx)) = pending.by_seq.remove(&seq) {
            let _ = tx.try_send(result);
        }
    }

    /// Removes a call whose reply is no longer awaited.
    pub(crate) fn cancel(&self, seq: u64) {
        let mut pending = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        pending.by_seq.remove(&seq);
    }

    /// Ends every call of a closed connection without a reply.
    pub(crate) fn cancel_all_on(&self, conn: ConnId) {
        let mut pending = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        pending.by_seq.retain(|_, (c, _)| *c != conn);
    }
}
