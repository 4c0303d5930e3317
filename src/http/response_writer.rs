//! Writer of a response whose reader may stop reading.

use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_io::Async;
use futures_lite::AsyncWrite;

use crate::shared_intake::IntakePermit;

/// Writes a response, and tells the intake while its reader takes no bytes.
pub(crate) struct ResponseWriter<'a> {
    stream: &'a Async<TcpStream>,
    permit: &'a IntakePermit,
    stalled: bool,
}

impl<'a> ResponseWriter<'a> {
    /// Makes a writer of a connection's responses.
    pub(crate) fn new(stream: &'a Async<TcpStream>, permit: &'a IntakePermit) -> Self {
        Self {
            stream,
            permit,
            stalled: false,
        }
    }

    fn set_stalled(&mut self, stalled: bool) {
        if stalled == self.stalled {
            return;
        }
        self.stalled = stalled;
        if stalled {
            self.permit.stall_response();
        } else {
            self.permit.resume_response();
        }
    }
}

impl AsyncWrite for ResponseWriter<'_> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut stream = self.stream;
        let written = Pin::new(&mut stream).poll_write(cx, buf);
        self.set_stalled(written.is_pending());
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut stream = self.stream;
        Pin::new(&mut stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut stream = self.stream;
        Pin::new(&mut stream).poll_close(cx)
    }
}

impl Drop for ResponseWriter<'_> {
    fn drop(&mut self) {
        self.set_stalled(false);
    }
}
