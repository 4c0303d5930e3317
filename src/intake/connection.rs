//! Connections and their requests.

use crate::intake::room_request::RoomRequest;
use crate::intake::size_class::SizeClass;
use crate::intake::wait::Wait;
use crate::intake::{ConnectionId, PROGRESS_BYTES, READ_GRACE};
use crate::prelude::*;

/// How far the request on a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// There is none.
    Idle,
    /// It is being received.
    Receiving,
    /// It has been received whole.
    Complete,
    /// Its caller takes no bytes of the response for now.
    Responding,
}

/// A connection of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Connection {
    pub(crate) stage: Stage,
    /// Whether it has to close.
    pub(crate) is_evicted: bool,
    /// Bytes that its request holds.
    pub(crate) bytes: usize,
    /// When its stage began or its request made progress last.
    pub(crate) last_progress: Timestamp,
    /// Bytes received since, which are too few to count as progress.
    received_bytes: usize,
    pub(crate) wait: Option<Wait>,
    /// Time for which its request has waited before.
    pub(crate) waited: Duration,
}

impl Connection {
    pub(crate) fn new(now: Timestamp) -> Self {
        Self {
            stage: Stage::Idle,
            is_evicted: false,
            bytes: 0,
            last_progress: now,
            received_bytes: 0,
            wait: None,
            waited: Duration::ZERO,
        }
    }

    /// Begins a request unless there is one.
    pub(crate) fn begin(&mut self, now: Timestamp) {
        if self.stage == Stage::Idle {
            self.stage = Stage::Receiving;
            self.record_progress(now);
        }
    }

    /// Ends the wait for memory, if there is one.
    pub(crate) fn end_wait(&mut self, now: Timestamp) {
        if let Some(wait) = self.wait.take() {
            self.waited = now.saturating_sub(wait.since);
        }
    }

    /// Counts bytes of a request that is being received.
    pub(crate) fn receive(&mut self, now: Timestamp, bytes: usize) {
        self.received_bytes = self.received_bytes.saturating_add(bytes);
        if self.received_bytes >= PROGRESS_BYTES {
            self.record_progress(now);
        }
    }

    /// Ends the request.
    pub(crate) fn become_idle(&mut self, now: Timestamp) {
        self.stage = Stage::Idle;
        self.bytes = 0;
        self.wait = None;
        self.waited = Duration::ZERO;
        self.record_progress(now);
    }

    /// Notes that the caller takes no more bytes of its response for now.
    pub(crate) fn stall_response(&mut self, now: Timestamp) {
        if matches!(self.stage, Stage::Complete | Stage::Responding) {
            self.stage = Stage::Responding;
            self.record_progress(now);
        }
    }

    /// Notes that the caller has taken all bytes of its response so far.
    pub(crate) fn resume_response(&mut self) {
        if self.stage == Stage::Responding {
            self.stage = Stage::Complete;
        }
    }

    /// Time from which it counts as being without progress.
    pub(crate) fn quiet_since(&self) -> Timestamp {
        match self.stage {
            Stage::Responding => self.last_progress + READ_GRACE,
            Stage::Idle | Stage::Receiving | Stage::Complete => self.last_progress,
        }
    }

    /// Whether it may be evicted for its place.
    pub(crate) fn is_quiet(&self) -> bool {
        !self.is_evicted && self.stage != Stage::Complete
    }

    /// Whether it may be evicted for its memory.
    pub(crate) fn is_evictable_holder(&self) -> bool {
        self.is_quiet() && self.bytes > 0
    }

    pub(crate) fn class(&self) -> SizeClass {
        SizeClass::of(self.bytes)
    }

    /// What it waits for.
    pub(crate) fn room_request(&self, id: ConnectionId) -> Option<RoomRequest> {
        self.wait.map(|wait| RoomRequest {
            id,
            held: self.bytes,
            bytes: wait.total_bytes,
        })
    }

    fn record_progress(&mut self, now: Timestamp) {
        self.received_bytes = 0;
        self.last_progress = now.max(self.last_progress);
    }
}
