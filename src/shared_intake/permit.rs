//! The part of the intake that one connection has.

use futures_lite::FutureExt;

use crate::clock::coarse_sleep;
use crate::intake::{ConnectionId, Evicted};
use crate::latch::Latch;
use crate::prelude::*;
use crate::shared_intake::{Answer, SharedIntake};

/// Why a connection gets no memory for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRoom {
    /// The request must be refused; its caller may return after this time.
    Refused {
        /// Time after which to return.
        retry_after: Duration,
    },
    /// The connection must be closed, since others need what it holds.
    Evicted,
}

/// Permission to keep a connection open; dropping it gives back all that the connection holds.
#[derive(Debug)]
pub struct IntakePermit {
    id: ConnectionId,
    evicted: Latch,
    intake: Arc<SharedIntake>,
}

impl IntakePermit {
    pub(super) fn new(id: ConnectionId, evicted: Latch, intake: Arc<SharedIntake>) -> Self {
        Self {
            id,
            evicted,
            intake,
        }
    }

    /// Sets the bytes that the request on the connection occupies, by capacity; waits for room.
    ///
    /// # Errors
    /// When there is no room in time, or the connection was evicted.
    pub async fn reserve(&self, bytes: usize) -> Result<(), NoRoom> {
        let mut wait = None;
        loop {
            match self
                .intake
                .update(|state, now| state.ask(now, self.id, bytes))
            {
                Answer::Granted => return Ok(()),
                Answer::NoRoom(reason) => return Err(reason),
                Answer::Wait { ask_again, woken } => {
                    wait.get_or_insert_with(|| Wait(self));
                    let woken = async {
                        let _ = woken.recv().await;
                    };
                    let evicted = self.evicted();
                    woken.or(evicted).or(coarse_sleep(ask_again)).await;
                }
            }
        }
    }

    /// Sets the bytes if there is room for them now; `false` if there is none.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize) -> bool {
        self.intake.update(|state, now| {
            let answer = state.ask(now, self.id, bytes);
            state.stop_waiting(now, self.id);
            matches!(answer, Answer::Granted)
        })
    }

    /// Records bytes of the request that arrived.
    pub fn record_progress(&self, bytes: usize) {
        let now = self.intake.now();
        self.intake.lock().intake.progress(now, self.id, bytes);
    }

    /// Records that the request was received whole, from when on it cannot be evicted.
    ///
    /// # Errors
    /// When the connection was evicted before.
    pub fn complete(&self) -> Result<(), Evicted> {
        self.intake
            .update(|state, _| state.intake.complete(self.id))
    }

    /// Records that the caller takes no more bytes of its response for now, or has just taken some.
    /// It may be evicted when it takes none for long.
    pub fn stall_response(&self) {
        let now = self.intake.now();
        self.intake.lock().intake.stall_response(now, self.id);
    }

    /// Records that the caller has taken all bytes of its response so far.
    pub fn resume_response(&self) {
        self.intake.lock().intake.resume_response(self.id);
    }

    /// Records that the connection holds no request any more.
    pub fn release(&self) {
        self.intake
            .update(|state, now| state.intake.release(now, self.id));
    }

    /// Completes when the connection is to be closed, since others need what it holds.
    pub fn evicted(&self) -> impl Future<Output = ()> + use<> {
        let evicted = self.evicted.clone();
        async move { evicted.wait().await }
    }
}

/// Ends a wait for memory when dropped, so that one that is given up holds up no other.
struct Wait<'a>(&'a IntakePermit);

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        let IntakePermit { id, intake, .. } = self.0;
        intake.update(|state, now| state.stop_waiting(now, *id));
    }
}

impl Drop for IntakePermit {
    fn drop(&mut self) {
        self.intake.update(|state, _| state.close(self.id));
    }
}
