//! Bytes that a caller's connection has sent.

use std::net::TcpStream;

use async_io::Async;
use futures_lite::AsyncReadExt;

use crate::http::{MessageError, read_arrived};
use crate::prelude::*;

/// Size of a read from a socket, in bytes.
pub(super) const READ_SIZE: usize = 8 * 1024;

/// Input of a connection, and the bytes of it that no request has taken yet.
pub(super) struct Input {
    pub stream: Arc<Async<TcpStream>>,
    pub buf: Vec<u8>,
}

impl Input {
    pub(super) fn new(stream: Arc<Async<TcpStream>>) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Whether the buffer must grow for another read.
    pub(super) fn must_grow(&self) -> bool {
        self.buf.capacity() < self.buf.len() + READ_SIZE
    }

    /// Capacity of the buffer after another read, in bytes.
    pub(super) fn capacity_to_fill(&self) -> usize {
        self.buf.capacity().max(self.buf.len() + READ_SIZE)
    }

    /// Appends the bytes that have arrived to `buf`; `false` when there are none yet.
    pub(super) fn fill_arrived(&mut self) -> Result<bool, MessageError> {
        read_arrived(self.stream.get_ref(), &mut self.buf, READ_SIZE)
    }

    /// Appends more bytes to `buf`; returns their number, zero at the end of the stream.
    pub(super) async fn fill(&mut self) -> Result<usize, MessageError> {
        read_into(&self.stream, &mut self.buf, READ_SIZE).await
    }

    /// Reads bytes and drops them with all that the buffer holds; returns their number, zero at the end
    /// of the stream.
    pub(super) async fn discard(&mut self) -> Result<usize, MessageError> {
        self.buf.clear();
        self.fill().await
    }
}

/// Appends up to `max` bytes of the stream to `buf`, whose capacity grows by no more than that;
/// returns their number, zero at the end of the stream.
pub(super) async fn read_into(
    mut stream: &Async<TcpStream>,
    buf: &mut Vec<u8>,
    max: usize,
) -> Result<usize, MessageError> {
    let len = buf.len();
    buf.reserve_exact(max);
    buf.resize(len + max, 0);
    let mut guard = TruncateOnDrop { buf, len };
    let read = stream.read(&mut guard.buf[len..]).await;
    let read = read.map_err(|_| MessageError::CutShort)?;
    guard.len = len + read;
    Ok(read)
}

/// Truncates a buffer to its filled part when dropped, even if the read was cancelled.
struct TruncateOnDrop<'a> {
    buf: &'a mut Vec<u8>,
    len: usize,
}

impl Drop for TruncateOnDrop<'_> {
    fn drop(&mut self) {
        self.buf.truncate(self.len);
    }
}
