//! The mesh as [`PeerLinks`] of an entry.

use std::time::Instant;

use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;

use crate::claim::{ClaimError, ClaimRequest, ClaimVerdict};
use crate::peer::mesh::{CatalogStatus, Mesh, lock};
use crate::peer::{PeerInfo, PeerLinks, PeerMessage};
use crate::prelude::*;

impl PeerLinks for Mesh {
    fn live(&self) -> Vec<PeerInfo> {
        lock(&self.state).membership.live(self.now())
    }

    fn send(&self, to: &str, message: PeerMessage) -> bool {
        let conn = self.conn_of(to);
        conn.is_some_and(|conn| self.enqueue(conn, &message))
    }

    fn broadcast(&self, message: &PeerMessage) {
        let Some(frame) = self.encode_bounded(message) else {
            return;
        };
        for queue in lock(&self.state).queues.values() {
            let _ = queue.push(frame.clone());
        }
    }

    fn announce(&self, revision: u64, since: Duration, watching: bool) {
        let now = Instant::now();
        let next = CatalogStatus {
            revision,
            since: now.checked_sub(since).unwrap_or(now),
            watching,
        };
        let old = std::mem::replace(&mut *lock(&self.status), next);
        if old.watching != watching {
            self.broadcast(&self.heartbeat_message());
        }
    }

    fn claim(
        &self,
        owner: &str,
        claimant: Name,
        req: ClaimRequest,
    ) -> Boxed<Option<Result<ClaimVerdict, ClaimError>>> {
        let Some(conn) = self.conn_of(owner) else {
            return Box::pin(async { None });
        };
        let (seq, reply) = self.calls.start(conn);
        let message = PeerMessage::Claim { seq, claimant, req };
        if !self.enqueue(conn, &message) {
            self.calls.cancel(seq);
            return Box::pin(async { None });
        }
        let (timeout, calls) = (self.peer_timeout, self.calls.clone());
        Box::pin(async move {
            let timed_out = async {
                Timer::after(timeout).await;
                calls.cancel(seq);
                None
            };
            let received = async { reply.recv().await.ok() };
            received.or(timed_out).await
        })
    }
}
