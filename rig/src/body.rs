//! Response bodies that are produced over time or fail on purpose.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::io::{AsyncBufRead, AsyncRead};
use futures_lite::{Stream, ready};
use guavahold::http::poll_read_buffered;
use http_types::Body;

/// A body fed through a channel; it ends cleanly when the sender is dropped.
#[must_use]
pub fn channel_body(rx: async_channel::Receiver<Vec<u8>>) -> Body {
    let body = ChannelBody {
        rx: Box::pin(rx),
        buf: Vec::new(),
        at: 0,
    };
    Body::from_reader(body, None)
}

struct ChannelBody {
    rx: Pin<Box<async_channel::Receiver<Vec<u8>>>>,
    buf: Vec<u8>,
    at: usize,
}

impl AsyncBufRead for ChannelBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.at == this.buf.len() {
            match ready!(this.rx.as_mut().poll_next(cx)) {
                Some(bytes) => {
                    this.buf = bytes;
                    this.at = 0;
                }
                None => break,
            }
        }
        Poll::Ready(Ok(&this.buf[this.at..]))
    }

    fn consume(self: Pin<&mut Self>, amt: usize) {
        self.get_mut().at += amt;
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

/// Makes `body` fail after `bytes` bytes, which closes its connection.
#[must_use]
pub fn cut_body(body: Body, bytes: u64) -> Body {
    let len = body.len();
    let cut = CutBody {
        body,
        left: usize::try_from(bytes).unwrap_or(usize::MAX),
    };
    Body::from_reader(cut, len)
}

struct CutBody {
    body: Body,
    left: usize,
}

impl AsyncBufRead for CutBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.left == 0 {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let bytes = ready!(Pin::new(&mut this.body).poll_fill_buf(cx))?;
        let n = bytes.len().min(this.left);
        Poll::Ready(Ok(&bytes[..n]))
    }

    fn consume(self: Pin<&mut Self>, amt: usize) {
        let this = self.get_mut();
        this.left -= amt;
        Pin::new(&mut this.body).consume(amt);
    }
}

impl AsyncRead for CutBody {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, cx, buf)
    }
}
