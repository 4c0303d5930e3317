//! The body of a block on its way to a reader.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures_lite::io::{AsyncBufRead, AsyncRead};

use crate::prelude::*;
use crate::store::core::Payload;
use crate::store::guard::Pinned;
use crate::store::link::Transfer;

/// Hands out a block's bytes as fast as the link allows and holds the block's pin until its end.
pub(crate) struct PacedBody {
    payload: Arc<Payload>,
    at: usize,
    granted: usize,
    transfer: Transfer,
    _pinned: Pinned,
}

impl PacedBody {
    pub(crate) fn new(payload: Arc<Payload>, pinned: Pinned, transfer: Transfer) -> Self {
        Self {
            payload,
            at: 0,
            granted: 0,
            transfer,
            _pinned: pinned,
        }
    }
}

impl AsyncBufRead for PacedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        let left = this.payload.bytes.len() - this.at;
        if this.granted == 0 && left > 0 {
            let granted = ready!(this.transfer.poll_take(cx, left as u64));
            this.granted = usize::try_from(granted).unwrap_or(left).min(left);
        }
        Poll::Ready(Ok(&this.payload.bytes[this.at..this.at + this.granted]))
    }

    fn consume(self: Pin<&mut Self>, n: usize) {
        let this = self.get_mut();
        this.at += n;
        this.granted -= n;
    }
}

impl AsyncRead for PacedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let ready = ready!(self.as_mut().poll_fill_buf(cx))?;
        let n = ready.len().min(buf.len());
        buf[..n].copy_from_slice(&ready[..n]);
        self.consume(n);
        Poll::Ready(Ok(n))
    }
}
