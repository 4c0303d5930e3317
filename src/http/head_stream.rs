//! In-memory stream that passes one message head to `async-h1`.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use futures_lite::io::{AsyncRead, AsyncWrite, Cursor};

/// Reads the bytes of a message head; writes are discarded.
#[derive(Clone, Debug)]
pub(crate) struct HeadStream(Arc<Mutex<Cursor<Vec<u8>>>>);

impl HeadStream {
    pub(crate) fn new(bytes: Vec<u8>) -> Self {
        Self(Arc::new(Mutex::new(Cursor::new(bytes))))
    }
}

impl AsyncRead for HeadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut cursor = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Pin::new(&mut *cursor).poll_read(cx, buf)
    }
}

impl AsyncWrite for HeadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
