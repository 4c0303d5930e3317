//! Callers' requests as they arrive on one connection.

use std::net::TcpStream;
use std::time::Instant;

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::clock::coarse_sleep;
use crate::gateway::{Call, CallError, Dialect};
use crate::http::{ChunkScanner, Framing, MAX_HEADERS, MessageError};
use crate::prelude::*;
use crate::route::CallerLimits;

/// Bytes read from a socket at once.
const READ_SIZE: usize = 8 * 1024;
/// Bytes of later requests that are taken while one is served.
const AHEAD: usize = 64 * 1024;

/// A request with its whole body.
#[derive(Debug)]
pub(crate) struct Received {
    /// The decoded head.
    pub call: Call,
    /// The whole body, without its transfer coding.
    pub body: Option<Vec<u8>>,
    /// When its last byte was read.
    pub at: Instant,
    /// Whether the caller closes the connection afterwards.
    pub close: bool,
}

/// Why no request was received.
#[derive(Debug)]
pub(crate) enum NoRequest {
    /// The connection ended between two requests, or was idle for too long.
    Ended,
    /// The message is not accepted; the connection ends with the answer.
    Rejected(u16, &'static str),
}

impl From<MessageError> for NoRequest {
    fn from(err: MessageError) -> Self {
        if err == MessageError::CutShort {
            return Self::Ended;
        }
        Self::Rejected(u16::from(err.status()), "bad-message")
    }
}

impl From<CallError> for NoRequest {
    fn from(_: CallError) -> Self {
        Self::Rejected(400, "bad-header")
    }
}

struct Head {
    call: Call,
    framing: Framing,
    expects_continue: bool,
    close: bool,
}

/// Reads the requests of one connection.
pub(crate) struct Inbound {
    stream: Arc<Async<TcpStream>>,
    buf: Vec<u8>,
}

impl Inbound {
    /// Begins to read on a connection.
    pub(crate) fn new(stream: Arc<Async<TcpStream>>) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Waits for the first byte of a request.
    pub(crate) async fn wait(&mut self, limits: &CallerLimits) -> Result<(), NoRequest> {
        if !self.buf.is_empty() {
            return Ok(());
        }
        let idle = async {
            coarse_sleep(limits.idle_timeout).await;
            Ok(0)
        };
        let readable = async {
            let readable = self.stream.readable().await;
            readable.map(|()| 1).map_err(|_| MessageError::CutShort)
        };
        match readable.or(idle).await {
            Ok(1) if self.fill().await? > 0 => Ok(()),
            _ => Err(NoRequest::Ended),
        }
    }

    /// Reads a whole request whose first byte has arrived.
    pub(crate) async fn receive(
        &mut self,
        dialect: &dyn Dialect,
        limits: &CallerLimits,
    ) -> Result<Received, NoRequest> {
        let late = async {
            coarse_sleep(limits.head_timeout).await;
            Err(NoRequest::from(MessageError::TooSlow))
        };
        let head = self.receive_head(dialect, limits).or(late).await?;
        let late = async {
            coarse_sleep(limits.head_timeout).await;
            Err(NoRequest::from(MessageError::TooSlow))
        };
        let body = self.receive_body(&head, limits).or(late).await?;
        Ok(Received {
            call: head.call,
            body,
            at: Instant::now(),
            close: head.close,
        })
    }

    /// Completes when the caller has closed the connection.
    pub(crate) async fn left(&mut self) {
        loop {
            if self.buf.len() >= AHEAD {
                // What follows a pipelined request shows no close.
                std::future::pending::<()>().await;
            }
            if !matches!(self.fill().await, Ok(n) if n > 0) {
                return;
            }
        }
    }

    async fn receive_head(
        &mut self,
        dialect: &dyn Dialect,
        limits: &CallerLimits,
    ) -> Result<Head, NoRequest> {
        loop {
            if let Some(head) = self.parse_head(dialect, limits)? {
                return Ok(head);
            }
            if self.fill().await? == 0 {
                return Err(NoRequest::Ended);
            }
        }
    }

    fn parse_head(
        &mut self,
        dialect: &dyn Dialect,
        limits: &CallerLimits,
    ) -> Result<Option<Head>, NoRequest> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut req = httparse::Request::new(&mut headers);
        let len = match req.parse(&self.buf) {
            Ok(httparse::Status::Complete(len)) if len <= limits.head_bytes => len,
            Ok(httparse::Status::Partial) if self.buf.len() <= limits.head_bytes => {
                return Ok(None);
            }
            Ok(_) | Err(httparse::Error::TooManyHeaders) => {
                return Err(MessageError::HeadTooLarge.into());
            }
            Err(_) => return Err(MessageError::Malformed.into()),
        };
        if req.version != Some(1) {
            return Err(MessageError::Malformed.into());
        }
        let hosts = req.headers.iter();
        let hosts = hosts.filter(|h| h.name.eq_ignore_ascii_case("host"));
        if hosts.count() != 1 {
            return Err(MessageError::NoHost.into());
        }
        let head = Head {
            framing: Framing::from_headers(req.headers)?,
            expects_continue: has_token(req.headers, "expect", "100-continue"),
            close: has_token(req.headers, "connection", "close"),
            call: dialect.decode_call(&req)?,
        };
        self.buf.drain(..len);
        Ok(Some(head))
    }

    async fn receive_body(
        &mut self,
        head: &Head,
        limits: &CallerLimits,
    ) -> Result<Option<Vec<u8>>, NoRequest> {
        if head.expects_continue && head.framing != Framing::Unspecified && self.buf.is_empty() {
            let mut stream = &*self.stream;
            let sent = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            sent.map_err(|_| NoRequest::Ended)?;
        }
        match head.framing {
            Framing::Unspecified => Ok(None),
            Framing::Length(len) => self.receive_length(len, limits).await.map(Some),
            Framing::Chunked => self.receive_chunked(limits).await.map(Some),
        }
    }

    async fn receive_length(
        &mut self,
        len: u64,
        limits: &CallerLimits,
    ) -> Result<Vec<u8>, NoRequest> {
        let len = usize::try_from(len).map_err(|_| MessageError::BodyTooLarge)?;
        if len > limits.body_bytes {
            return Err(MessageError::BodyTooLarge.into());
        }
        while self.buf.len() < len {
            if self.fill().await? == 0 {
                return Err(NoRequest::Ended);
            }
        }
        let rest = self.buf.split_off(len);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    async fn receive_chunked(&mut self, limits: &CallerLimits) -> Result<Vec<u8>, NoRequest> {
        let mut scanner = ChunkScanner::new();
        let mut body = Vec::new();
        loop {
            let n = scanner.feed(&self.buf, Some(&mut body))?;
            self.buf.drain(..n);
            if body.len() > limits.body_bytes {
                return Err(MessageError::BodyTooLarge.into());
            }
            if scanner.is_done() {
                return Ok(body);
            }
            if self.fill().await? == 0 {
                return Err(NoRequest::Ended);
            }
        }
    }

    /// Reads more bytes behind those in `buf`; `0` at the end of the stream.
    async fn fill(&mut self) -> Result<usize, MessageError> {
        let len = self.buf.len();
        self.buf.resize(len + READ_SIZE, 0);
        let mut stream = &*self.stream;
        let mut guard = Truncate {
            buf: &mut self.buf,
            len,
        };
        let read = stream.read(&mut guard.buf[len..]).await;
        let read = read.map_err(|_| MessageError::CutShort)?;
        guard.len = len + read;
        Ok(read)
    }
}

/// Cuts a buffer back to its filled part, also when a read is given up.
struct Truncate<'a> {
    buf: &'a mut Vec<u8>,
    len: usize,
}

impl Drop for Truncate<'_> {
    fn drop(&mut self) {
        self.buf.truncate(self.len);
    }
}

fn has_token(headers: &[httparse::Header<'_>], name: &str, token: &str) -> bool {
    let mut values = headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case(name))
        .filter_map(|h| std::str::from_utf8(h.value).ok())
        .flat_map(|v| v.split(','));
    values.any(|v| v.trim().eq_ignore_ascii_case(token))
}
