//! A TCP connection that is read and written at the same time.

use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// A TCP connection that is read and written at the same time, with an end that is told from a failure.
///
/// The kernel reports the failure of a connection to a single call. Once a write has got it, reads
/// return zero bytes, as they do at the end of the peer's stream.
#[derive(Debug)]
pub struct DuplexStream {
    stream: Async<TcpStream>,
    /// Whether a write got the failure of the connection.
    has_failed: AtomicBool,
}

impl From<Async<TcpStream>> for DuplexStream {
    fn from(stream: Async<TcpStream>) -> Self {
        Self {
            stream,
            has_failed: AtomicBool::new(false),
        }
    }
}

impl DuplexStream {
    /// The socket, for its options.
    #[must_use]
    pub fn get_ref(&self) -> &TcpStream {
        self.stream.get_ref()
    }

    /// Reads bytes of the peer; zero at the orderly end of its stream.
    ///
    /// # Errors
    /// When the connection failed before that end, also if a write has got the failure.
    pub async fn read(&self, buf: &mut [u8]) -> io::Result<usize> {
        let mut stream = &self.stream;
        let read = stream.read(buf).await?;
        if read == 0 && self.has_failed.load(Ordering::Acquire) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(read)
    }

    /// Sends bytes to the peer.
    ///
    /// # Errors
    /// When the connection failed.
    pub async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        let mut stream = &self.stream;
        let written = stream.write_all(bytes).await;
        // A reset that follows the end of the peer's stream is reported as a broken pipe.
        if matches!(&written, Err(err) if err.kind() != io::ErrorKind::BrokenPipe) {
            self.has_failed.store(true, Ordering::Release);
        }
        written
    }
}
