//! What the log says of an attempt beside its result.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

use crate::gateway::ConnectionHistory;
use crate::prelude::*;

/// What the log says of an attempt beside its result.
#[derive(Debug, Default)]
pub(crate) struct AttemptTrace {
    fetches: AtomicUsize,
    saves: AtomicUsize,
    answer_began: AtomicBool,
    relay: OnceLock<Name>,
    connection: Mutex<Option<ConnectionHistory>>,
}

impl AttemptTrace {
    /// Records the numbers of prompt parts fetched from context stores and saved to them.
    pub(crate) fn record_transfers(&self, fetches: usize, saves: usize) {
        self.fetches.store(fetches, Ordering::Relaxed);
        self.saves.store(saves, Ordering::Relaxed);
    }

    /// Numbers of prompt parts fetched from context stores and saved to them.
    pub(crate) fn transfers(&self) -> (usize, usize) {
        let load = |count: &AtomicUsize| count.load(Ordering::Relaxed);
        (load(&self.fetches), load(&self.saves))
    }

    /// Records that the target has begun its answer: with the first whole event of a stream.
    pub(crate) fn record_answer_began(&self) {
        self.answer_began.store(true, Ordering::Relaxed);
    }

    /// Whether the target has begun its answer.
    pub(crate) fn answer_began(&self) -> bool {
        self.answer_began.load(Ordering::Relaxed)
    }

    /// Records the connection on which the request is sent, and the peer that relays it, if any.
    pub(crate) fn record_connection(&self, history: ConnectionHistory, peer: Option<&Name>) {
        *self.lock_connection() = Some(history);
        if let Some(peer) = peer {
            let _ = self.relay.set(peer.clone());
        }
    }

    /// What the connection on which the request was sent last had carried, if it was sent.
    pub(crate) fn connection(&self) -> Option<ConnectionHistory> {
        *self.lock_connection()
    }

    fn lock_connection(&self) -> MutexGuard<'_, Option<ConnectionHistory>> {
        let connection = self.connection.lock();
        connection.unwrap_or_else(PoisonError::into_inner)
    }

    /// Peer that relayed the connection, if any.
    pub(crate) fn relay(&self) -> Option<&Name> {
        self.relay.get()
    }
}
