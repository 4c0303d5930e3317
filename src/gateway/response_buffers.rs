//! Memory for the bodies of targets' responses that are being received.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Size up to which every body is received, in bytes.
const FREE_BYTES: usize = 256 * 1024;
/// Size of all bodies together up to which one may be larger than that, in bytes.
const MAX_TOTAL_BYTES: usize = 8 * 1024 * 1024;

/// Bytes that all bodies occupy while they are received.
#[derive(Debug, Default)]
pub(crate) struct ResponseBuffers(AtomicUsize);

impl ResponseBuffers {
    /// Starts to receive a body.
    pub(crate) fn begin(&self) -> BufferedBody<'_> {
        BufferedBody {
            buffers: self,
            bytes: 0,
        }
    }
}

/// Bytes that one body occupies; they are given back when it is dropped.
#[derive(Debug)]
pub(crate) struct BufferedBody<'a> {
    buffers: &'a ResponseBuffers,
    bytes: usize,
}

impl BufferedBody<'_> {
    /// Records that the body has grown to `bytes`; `false` if it has become too large.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let total = self.buffers.0.fetch_add(more, Ordering::Relaxed) + more;
        self.bytes += more;
        self.bytes <= FREE_BYTES || total <= MAX_TOTAL_BYTES
    }
}

impl Drop for BufferedBody<'_> {
    fn drop(&mut self) {
        self.buffers.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
