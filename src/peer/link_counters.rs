//! Counters of the frames that the links carry.

use std::sync::atomic::{AtomicU64, Ordering};

/// Frames and payload bytes of all links since the start.
#[derive(Debug, Default)]
pub struct LinkCounters {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
    unreadable: AtomicU64,
    not_understood: AtomicU64,
    too_large: AtomicU64,
}

impl LinkCounters {
    /// Counts a sent frame of `bytes` bytes.
    pub(crate) fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a received frame of `bytes` bytes.
    pub(crate) fn count_received(&self, bytes: usize) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a received frame that could not be decoded.
    pub(crate) fn count_unreadable(&self) {
        self.unreadable.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a received message that was dropped because it was not understood.
    pub(crate) fn count_not_understood(&self) {
        self.not_understood.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a message that was not sent because it is too large; returns whether it is the first.
    pub(crate) fn count_too_large(&self) -> bool {
        self.too_large.fetch_add(1, Ordering::Relaxed) == 0
    }

    /// Frames and payload bytes sent.
    #[must_use]
    pub fn sent(&self) -> (u64, u64) {
        let frames = self.sent.load(Ordering::Relaxed);
        (frames, self.sent_bytes.load(Ordering::Relaxed))
    }

    /// Frames and payload bytes received.
    #[must_use]
    pub fn received(&self) -> (u64, u64) {
        let frames = self.received.load(Ordering::Relaxed);
        (frames, self.received_bytes.load(Ordering::Relaxed))
    }

    /// Received messages that were dropped because they were not understood.
    #[must_use]
    pub fn not_understood(&self) -> u64 {
        self.not_understood.load(Ordering::Relaxed)
    }

    /// Received frames that could not be decoded; each closed its connection.
    #[must_use]
    pub fn unreadable(&self) -> u64 {
        self.unreadable.load(Ordering::Relaxed)
    }

    /// Messages that were not sent because no peer would receive them: they are too large.
    #[must_use]
    pub fn too_large(&self) -> u64 {
        self.too_large.load(Ordering::Relaxed)
    }
}
