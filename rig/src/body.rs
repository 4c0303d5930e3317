//! Response bodies that are streamed from a channel or cut short by a fault.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::io::{AsyncBufRead, AsyncRead};
use futures_lite::{Stream, ready};
use guavahold::http::poll_read_buffered;
use http_types::Body;

/// Creates a body from the byte chunks of a channel; it ends when all senders are dropped.
#[must_use]
pub fn channel_body(rx: async_channel::Receiver<Vec<u8>>) -> Body {
    let body = ChannelBody {
        rx: Box::pin(rx),
        buf: Vec::new(),
        position: 0,
    };
    Body::from_reader(body, None)
}

struct ChannelBody {
    rx: Pin<Box<async_channel::Receiver<Vec<u8>>>>,
    buf: Vec<u8>,
    position: usize,
}

impl AsyncBufRead for ChannelBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.position == this.buf.len() {
            match ready!(this.rx.as_mut().poll_next(cx)) {
                Some(bytes) => {
                    this.buf = bytes;
                    this.position = 0;
                }
                None => break,
            }
        }
        Poll::Ready(Ok(&this.buf[this.position..]))
    }

    fn consume(self: Pin<&mut Self>, amt: usize) {
        self.get_mut().position += amt;
    }
}

impl AsyncRead for ChannelBody {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, cx, buf)
    }
}

/// Limits `body` to `bytes` bytes and then fails it, which closes the connection.
#[must_use]
pub fn truncated_body(body: Body, bytes: u64) -> Body {
    let len = body.len();
    let truncated = TruncatedBody {
        body,
        remaining: usize::try_from(bytes).unwrap_or(usize::MAX),
    };
    Body::from_reader(truncated, len)
}

struct TruncatedBody {
    body: Body,
    remaining: usize,
}

impl AsyncBufRead for TruncatedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.remaining == 0 {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let bytes = ready!(Pin::new(&mut this.body).poll_fill_buf(cx))?;
        let n = bytes.len().min(this.remaining);
        Poll::Ready(Ok(&bytes[..n]))
    }

    fn consume(self: Pin<&mut Self>, amt: usize) {
        let this = self.get_mut();
        this.remaining -= amt;
        Pin::new(&mut this.body).consume(amt);
    }
}

impl AsyncRead for TruncatedBody {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, cx, buf)
    }
}
