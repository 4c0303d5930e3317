//! Reads callers' requests from a connection.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::Instant;

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::clock::coarse_sleep;
use crate::gateway::shared::Shared;
use crate::gateway::{Dialect, RequestHead, RequestHeadError};
use crate::http::{ChunkScanner, Framing, MAX_HEADERS, MessageError};
use crate::prelude::*;
use crate::route::CallerLimits;

/// Size of a read from a socket, in bytes.
const READ_SIZE: usize = 8 * 1024;
/// Maximum number of buffered bytes of pipelined requests while a request is served.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// A request with its complete body.
#[derive(Debug)]
pub(crate) struct ReceivedRequest {
    /// Decoded head.
    pub head: RequestHead,
    /// Complete body, without transfer coding.
    pub body: Option<Vec<u8>>,
    /// When the last byte was read.
    pub at: Instant,
    /// Whether the caller closes the connection after this request.
    pub close: bool,
}

/// Why no request was received.
#[derive(Debug)]
pub(crate) enum ReceiveError {
    /// The connection closed, failed or reached its idle timeout.
    ConnectionClosed,
    /// The request is invalid, with the status and the code of the response; the connection closes
    /// after the response.
    Rejected(u16, &'static str),
}

impl From<MessageError> for ReceiveError {
    fn from(err: MessageError) -> Self {
        if err == MessageError::CutShort {
            return Self::ConnectionClosed;
        }
        Self::Rejected(u16::from(err.status()), "bad-message")
    }
}

impl From<RequestHeadError> for ReceiveError {
    fn from(_: RequestHeadError) -> Self {
        Self::Rejected(400, "bad-header")
    }
}

struct MessageHead {
    request: RequestHead,
    framing: Framing,
    expects_continue: bool,
    close: bool,
}

/// Reads requests from one connection.
pub(crate) struct RequestReader {
    stream: Arc<Async<TcpStream>>,
    buf: Vec<u8>,
    /// Idle timeout when the request before arrived, by which its caller may go.
    known_idle_timeout: Duration,
}

impl RequestReader {
    /// Creates a reader of a connection.
    pub(crate) fn new(stream: Arc<Async<TcpStream>>) -> Self {
        Self {
            stream,
            buf: Vec::new(),
            known_idle_timeout: Duration::ZERO,
        }
    }

    /// Waits for the first bytes of a request, until the idle timeout passes or idle connections
    /// close. Bytes that have arrived by the idle timeout are read nevertheless, since the reactor may
    /// report them later; at a shutdown they are left unread, so that the caller may send its request
    /// elsewhere.
    pub(crate) async fn wait_for_request(&mut self, shared: &Shared) -> Result<(), ReceiveError> {
        let idle_since = Instant::now();
        while self.buf.is_empty() {
            let readable = async {
                let _ = self.stream.readable().await;
                Wakeup::Readable
            };
            let idle = async {
                let idle_timeout = || shared.limits().idle_timeout.max(self.known_idle_timeout);
                limit_passed(idle_since, idle_timeout).await;
                Wakeup::Idle
            };
            let closing = async {
                shared.drain.wait_idle_close().await;
                Wakeup::Closing
            };
            let wakeup = readable.or(idle).or(closing).await;
            if wakeup == Wakeup::Closing || (!self.fill_arrived()? && wakeup == Wakeup::Idle) {
                return Err(ReceiveError::ConnectionClosed);
            }
        }
        Ok(())
    }

    /// Reads a complete request, whose first byte has arrived.
    pub(crate) async fn receive(
        &mut self,
        shared: &Shared,
    ) -> Result<ReceivedRequest, ReceiveError> {
        let limits = shared.limits();
        self.known_idle_timeout = limits.idle_timeout;
        let head = self.receive_head(&*shared.dialect, &limits);
        let head = head.or(too_slow(shared)).await?;
        let body = self.receive_body(&head, &limits);
        let body = body.or(too_slow(shared)).await?;
        Ok(ReceivedRequest {
            head: head.request,
            body,
            at: Instant::now(),
            close: head.close,
        })
    }

    /// Completes when the caller has closed the connection; never with a full buffer of pipelined
    /// requests.
    pub(crate) async fn caller_closed(&mut self) {
        loop {
            if self.buf.len() >= MAX_PIPELINED_BYTES {
                // A close cannot be detected without reading more.
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
    ) -> Result<MessageHead, ReceiveError> {
        loop {
            if let Some(head) = self.parse_head(dialect, limits)? {
                return Ok(head);
            }
            if self.fill().await? == 0 {
                return Err(ReceiveError::ConnectionClosed);
            }
        }
    }

    fn parse_head(
        &mut self,
        dialect: &dyn Dialect,
        limits: &CallerLimits,
    ) -> Result<Option<MessageHead>, ReceiveError> {
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
        let head = MessageHead {
            framing: Framing::from_headers(req.headers)?,
            expects_continue: has_token(req.headers, "expect", "100-continue"),
            close: has_token(req.headers, "connection", "close"),
            request: dialect.decode_request(&req)?,
        };
        self.buf.drain(..len);
        Ok(Some(head))
    }

    async fn receive_body(
        &mut self,
        head: &MessageHead,
        limits: &CallerLimits,
    ) -> Result<Option<Vec<u8>>, ReceiveError> {
        if head.expects_continue && head.framing != Framing::Unspecified && self.buf.is_empty() {
            let mut stream = &*self.stream;
            let sent = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            sent.map_err(|_| ReceiveError::ConnectionClosed)?;
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
    ) -> Result<Vec<u8>, ReceiveError> {
        let len = usize::try_from(len).map_err(|_| MessageError::BodyTooLarge)?;
        if len > limits.body_bytes {
            return Err(MessageError::BodyTooLarge.into());
        }
        while self.buf.len() < len {
            if self.fill().await? == 0 {
                return Err(ReceiveError::ConnectionClosed);
            }
        }
        let rest = self.buf.split_off(len);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    async fn receive_chunked(&mut self, limits: &CallerLimits) -> Result<Vec<u8>, ReceiveError> {
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
                return Err(ReceiveError::ConnectionClosed);
            }
        }
    }

    /// Appends the bytes that have arrived to `buf`; `false` when there are none yet.
    fn fill_arrived(&mut self) -> Result<bool, ReceiveError> {
        let len = self.buf.len();
        self.buf.resize(len + READ_SIZE, 0);
        let read = self.stream.get_ref().read(&mut self.buf[len..]);
        self.buf.truncate(len + *read.as_ref().unwrap_or(&0));
        match read {
            Ok(0) => Err(ReceiveError::ConnectionClosed),
            Ok(_) => Ok(true),
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                Ok(false)
            }
            Err(_) => Err(ReceiveError::ConnectionClosed),
        }
    }

    /// Appends more bytes to `buf`; returns their number, zero at the end of the stream.
    async fn fill(&mut self) -> Result<usize, MessageError> {
        let len = self.buf.len();
        self.buf.resize(len + READ_SIZE, 0);
        let mut stream = &*self.stream;
        let mut guard = TruncateOnDrop {
            buf: &mut self.buf,
            len,
        };
        let read = stream.read(&mut guard.buf[len..]).await;
        let read = read.map_err(|_| MessageError::CutShort)?;
        guard.len = len + read;
        Ok(read)
    }
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

/// Why a connection stops waiting for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wakeup {
    /// Bytes may have arrived.
    Readable,
    /// The idle timeout has passed.
    Idle,
    /// Idle connections close, since the entry shuts down.
    Closing,
}

/// Fails once a head or a body has taken too long to arrive.
async fn too_slow<T>(shared: &Shared) -> Result<T, ReceiveError> {
    limit_passed(Instant::now(), || shared.limits().head_timeout).await;
    Err(MessageError::TooSlow.into())
}

/// Completes once `limit` has passed since `start`. A limit that is raised meanwhile holds; one that
/// is lowered does not, since the caller may go by the former one.
async fn limit_passed(start: Instant, limit: impl Fn() -> Duration) {
    loop {
        let left = limit().saturating_sub(start.elapsed());
        if left.is_zero() {
            return;
        }
        coarse_sleep(left).await;
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
