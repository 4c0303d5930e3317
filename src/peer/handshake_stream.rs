//! Socket to a peer that is not authenticated yet.

use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_io::Async;
use futures_lite::{AsyncRead, AsyncWrite};

/// A socket that can be read one byte at a time.
///
/// The WebSocket stream of the handshake permits short messages only, and that limit cannot be
/// raised later. Another stream therefore reads what follows the hello message, which must still be
/// on the socket by then.
pub(super) struct HandshakeStream {
    socket: Async<TcpStream>,
    single_bytes: bool,
}

impl HandshakeStream {
    pub(super) fn new(socket: Async<TcpStream>) -> Self {
        Self {
            socket,
            single_bytes: false,
        }
    }

    /// Returns at most one byte for each read from now on, so that a WebSocket stream reads nothing
    /// beyond the message that it returns.
    pub(super) fn read_single_bytes(&mut self) {
        self.single_bytes = true;
    }

    /// The socket.
    pub(super) fn into_inner(self) -> Async<TcpStream> {
        self.socket
    }
}

impl AsyncRead for HandshakeStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let len = if self.single_bytes {
            buf.len().min(1)
        } else {
            buf.len()
        };
        Pin::new(&mut self.socket).poll_read(cx, &mut buf[..len])
    }
}

impl AsyncWrite for HandshakeStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_close(cx)
    }
}
