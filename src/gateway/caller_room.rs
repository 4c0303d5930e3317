//! The memory that one caller's connection holds.

use std::sync::atomic::{AtomicUsize, Ordering};

use crate::intake::Evicted;
use crate::shared_intake::{IntakePermit, NoRoom};

/// The memory that one caller's connection holds, in parts that are read, kept and written.
pub(crate) struct CallerRoom {
    permit: IntakePermit,
    /// Bytes of the buffer that the connection is read into.
    input: AtomicUsize,
    /// Bytes of the request's head and body.
    request: AtomicUsize,
    /// Bytes of the response's body.
    response: AtomicUsize,
}

impl CallerRoom {
    /// The room of a connection that was admitted.
    pub(crate) fn new(permit: IntakePermit) -> Self {
        Self {
            permit,
            input: AtomicUsize::new(0),
            request: AtomicUsize::new(0),
            response: AtomicUsize::new(0),
        }
    }

    /// Waits for room for a buffer of `bytes` that the connection is read into.
    pub(crate) async fn hold_input(&self, bytes: usize) -> Result<(), NoRoom> {
        self.hold(&self.input, bytes).await
    }

    /// Takes room for such a buffer if there is any now; `false` if there is none.
    pub(crate) fn try_hold_input(&self, bytes: usize) -> bool {
        let sum = self.sum_with(&self.input, bytes);
        let held = bytes == self.input.load(Ordering::Relaxed) || self.permit.try_reserve(sum);
        if held {
            self.input.store(bytes, Ordering::Relaxed);
        }
        held
    }

    /// Waits for room for `bytes` of a request's head and body.
    pub(crate) async fn hold_request(&self, bytes: usize) -> Result<(), NoRoom> {
        self.hold(&self.request, bytes).await
    }

    /// Waits for room for `bytes` of a response's body.
    pub(crate) async fn hold_response(&self, bytes: usize) -> Result<(), NoRoom> {
        self.hold(&self.response, bytes).await
    }

    /// Records bytes of a request that arrived.
    pub(crate) fn record_progress(&self, bytes: usize) {
        self.permit.record_progress(bytes);
    }

    /// Records that a request was received whole, from when on it keeps its room.
    pub(crate) fn complete(&self) -> Result<(), Evicted> {
        self.permit.complete()
    }

    /// Records that the caller takes no more bytes of its response for now, or has just taken some.
    pub(crate) fn stall_response(&self) {
        self.permit.stall_response();
    }

    /// Records that the caller has taken all bytes of its response so far.
    pub(crate) fn resume_response(&self) {
        self.permit.resume_response();
    }

    /// Gives back everything between two requests.
    pub(crate) fn release(&self) {
        for part in [&self.input, &self.request, &self.response] {
            part.store(0, Ordering::Relaxed);
        }
        self.permit.release();
    }

    /// Completes when the connection is to be closed, since others need its place or its memory.
    pub(crate) fn evicted(&self) -> impl Future<Output = ()> + use<> {
        self.permit.evicted()
    }

    async fn hold(&self, part: &AtomicUsize, bytes: usize) -> Result<(), NoRoom> {
        if part.load(Ordering::Relaxed) == bytes {
            return Ok(());
        }
        self.permit.reserve(self.sum_with(part, bytes)).await?;
        part.store(bytes, Ordering::Relaxed);
        Ok(())
    }

    /// Bytes of all parts once this one has `bytes`.
    fn sum_with(&self, part: &AtomicUsize, bytes: usize) -> usize {
        let parts = [&self.input, &self.request, &self.response];
        let all: usize = parts.iter().map(|p| p.load(Ordering::Relaxed)).sum();
        all - part.load(Ordering::Relaxed) + bytes
    }
}
