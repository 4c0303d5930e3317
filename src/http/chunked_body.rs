//! Body in the chunked transfer coding, whose memory its reader reserves as it grows.

use crate::http::{ChunkScanner, MessageError};

/// First capacity of a body, in bytes.
const FIRST_CAPACITY: usize = 16 * 1024;
/// Room beyond the longest body, in bytes, so that one that is too long is found without growing.
pub(crate) const OVERRUN_BYTES: usize = 16 * 1024;

/// A chunked body that is being received.
#[derive(Debug)]
pub(crate) struct ChunkedBody {
    scanner: ChunkScanner,
    decoded: Vec<u8>,
    max_bytes: usize,
}

impl ChunkedBody {
    /// Begins a body of at most `max_bytes`.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            scanner: ChunkScanner::new(),
            decoded: Vec::new(),
            max_bytes,
        }
    }

    /// Bytes that the body occupies.
    pub(crate) fn capacity(&self) -> usize {
        self.decoded.capacity()
    }

    /// Capacity that the body must grow to before it takes `more` bytes, if it must grow: that of the
    /// longest body, halved as often as the bytes permit, so that the last move needs the least room.
    pub(crate) fn needed_capacity(&self, more: usize) -> Option<usize> {
        let needed = self.decoded.len() + more;
        if needed <= self.capacity() {
            return None;
        }
        let mut capacity = needed.max(self.max_bytes + OVERRUN_BYTES);
        while capacity / 2 >= needed.max(FIRST_CAPACITY) {
            capacity /= 2;
        }
        Some(capacity)
    }

    /// Moves the body to a buffer of this capacity; until then both buffers are in memory.
    ///
    /// # Errors
    /// [`MessageError::NoMemory`] when the system has none.
    pub(crate) fn grow(&mut self, capacity: usize) -> Result<(), MessageError> {
        let mut grown = allocate(capacity)?;
        grown.append(&mut self.decoded);
        self.decoded = grown;
        Ok(())
    }

    /// Decodes the bytes of the body at the start of `raw` and removes them; returns whether the body
    /// has ended.
    ///
    /// # Errors
    /// When the coding is malformed or the body too large.
    pub(crate) fn feed(&mut self, raw: &mut Vec<u8>) -> Result<bool, MessageError> {
        let n = self.scanner.feed(raw, Some(&mut self.decoded))?;
        raw.drain(..n);
        if self.decoded.len() > self.max_bytes {
            return Err(MessageError::BodyTooLarge);
        }
        Ok(self.scanner.is_done())
    }

    /// The decoded body.
    pub(crate) fn into_decoded(self) -> Vec<u8> {
        self.decoded
    }
}

/// An empty buffer of this capacity.
///
/// # Errors
/// [`MessageError::NoMemory`] when the system has none.
pub(crate) fn allocate(capacity: usize) -> Result<Vec<u8>, MessageError> {
    let mut buf = Vec::new();
    let allocated = buf.try_reserve_exact(capacity);
    allocated.map_err(|_| MessageError::NoMemory)?;
    Ok(buf)
}
