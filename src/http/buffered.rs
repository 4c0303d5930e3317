//! `AsyncRead` for types that implement `AsyncBufRead`.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::io::AsyncBufRead;
use futures_lite::ready;

/// Implements `poll_read` by copying from the reader's own buffer into `buf`.
///
/// # Errors
/// Errors of the reader.
pub fn poll_read_buffered<R: AsyncBufRead>(
    mut reader: Pin<&mut R>,
    cx: &mut Context<'_>,
    buf: &mut [u8],
) -> Poll<io::Result<usize>> {
    let bytes = ready!(reader.as_mut().poll_fill_buf(cx))?;
    let n = bytes.len().min(buf.len());
    buf[..n].copy_from_slice(&bytes[..n]);
    reader.consume(n);
    Poll::Ready(Ok(n))
}
