//! Claims that wait for the reply of their shard's owner.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use async_channel::{Receiver, Sender};
use futures_lite::future::Boxed;

use crate::claim::{ClaimError, ClaimRequest, ClaimVerdict};
use crate::peer::ConnId;
use crate::prelude::*;

/// Commits claims of peers at the owner of their shard.
pub trait ClaimServer: Send + Sync {
    /// Commits a claim for `claimant`.
    fn serve(&self, claimant: Name, req: ClaimRequest) -> Boxed<Result<ClaimVerdict, ClaimError>>;
}

/// Decision about a claim.
pub(crate) type Verdict = Result<ClaimVerdict, ClaimError>;

/// Calls in flight by number.
#[derive(Debug, Default)]
pub(crate) struct Calls(Mutex<Pending>);

#[derive(Debug, Default)]
struct Pending {
    last: u64,
    calls: HashMap<u64, (ConnId, Sender<Verdict>)>,
}

impl Calls {
    /// Registers a call on a connection; its reply arrives at the receiver.
    pub(crate) fn start(&self, conn: ConnId) -> (u64, Receiver<Verdict>) {
        let (tx, rx) = async_channel::bounded(1);
        let mut pending = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        pending.last += 1;
        let seq = pending.last;
        pending.calls.insert(seq, (conn, tx));
        (seq, rx)
    }

    /// Passes on a reply; one that came over another connection is ignored.
    pub(crate) fn reply(&self, conn: ConnId, seq: u64, verdict: Verdict) {
        let mut pending = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let fits = pending.calls.get(&seq).is_some_and(|(c, _)| *c == conn);
        if fits && let Some((_, tx)) = pending.calls.remove(&seq) {
            let _ = tx.try_send(verdict);
        }
    }

    /// Forgets a call that took too long.
    pub(crate) fn forget(&self, seq: u64) {
        let mut pending = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        pending.calls.remove(&seq);
    }

    /// Ends every call of a lost connection without a reply.
    pub(crate) fn lost(&self, conn: ConnId) {
        let mut pending = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        pending.calls.retain(|_, (c, _)| *c != conn);
    }
}
