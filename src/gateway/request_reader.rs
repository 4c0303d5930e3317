//! Reads callers' requests from a connection.

mod body;
mod input;

use std::net::TcpStream;
use std::time::Instant;

use async_io::Async;
use futures_lite::future::yield_now;
use futures_lite::{AsyncWriteExt, FutureExt};
use input::Input;

use crate::clock::coarse_sleep;
use crate::gateway::caller_room::CallerRoom;
use crate::gateway::refusal::{no_memory, rejected};
use crate::gateway::shared::Shared;
use crate::gateway::{Dialect, LocalResponse, RequestHead, RequestHeadError};
use crate::http::{Framing, MAX_HEADERS, MessageError};
use crate::intake::Evicted;
use crate::prelude::*;
use crate::route::CallerLimits;
use crate::shared_intake::NoRoom;

/// Maximum number of buffered bytes of pipelined requests while a request is served.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;
/// Time after which a caller whose request was evicted is asked to return.
const EVICTED_RETRY_AFTER: Duration = Duration::from_millis(500);

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
    /// The request is invalid, too slow or has no room; the connection closes after the response.
    Rejected(LocalResponse),
}

impl ReceiveError {
    /// The request has no room in memory; nothing of it was sent to a target.
    fn no_memory() -> Self {
        Self::Rejected(no_memory(EVICTED_RETRY_AFTER))
    }
}

impl From<MessageError> for ReceiveError {
    fn from(err: MessageError) -> Self {
        if err == MessageError::CutShort {
            return Self::ConnectionClosed;
        }
        if err == MessageError::NoMemory {
            return Self::no_memory();
        }
        Self::Rejected(rejected(u16::from(err.status()), "bad-message"))
    }
}

impl From<RequestHeadError> for ReceiveError {
    fn from(_: RequestHeadError) -> Self {
        Self::Rejected(rejected(400, "bad-header"))
    }
}

impl From<NoRoom> for ReceiveError {
    fn from(reason: NoRoom) -> Self {
        match reason {
            NoRoom::Refused { retry_after } => Self::Rejected(no_memory(retry_after)),
            NoRoom::Evicted => Self::no_memory(),
        }
    }
}

impl From<Evicted> for ReceiveError {
    fn from(_: Evicted) -> Self {
        Self::no_memory()
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
    input: Input,
    room: Arc<CallerRoom>,
    /// Size of the request's head, in bytes.
    head_bytes: usize,
    /// Whether so many bytes were pipelined that no further request is served on the connection.
    overrun: bool,
    /// Idle timeout when the request before arrived, by which its caller may go.
    known_idle_timeout: Duration,
}

impl RequestReader {
    /// Creates a reader of a connection that was admitted.
    pub(crate) fn new(stream: Arc<Async<TcpStream>>, room: Arc<CallerRoom>) -> Self {
        Self {
            input: Input::new(stream),
            room,
            head_bytes: 0,
            overrun: false,
            known_idle_timeout: Duration::ZERO,
        }
    }

    /// Waits for the first bytes of a request, until the idle timeout passes, idle connections
    /// close or the connection makes way for others. Bytes that have arrived by then are read
    /// nevertheless, since the reactor may report them later; at a shutdown they are left unread,
    /// so that the caller may send its request elsewhere.
    pub(crate) async fn wait_for_request(&mut self, shared: &Shared) -> Result<(), ReceiveError> {
        let idle_since = Instant::now();
        while self.input.buf.is_empty() {
            let readable = async {
                let _ = self.input.stream.readable().await;
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
            let evicted = async {
                self.room.evicted().await;
                Wakeup::Evicted
            };
            let wakeup = readable.or(idle).or(closing).or(evicted).await;
            if wakeup == Wakeup::Closing {
                return Err(ReceiveError::ConnectionClosed);
            }
            if !self.input.fill_arrived()? && wakeup != Wakeup::Readable {
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
        let evicted = self.room.evicted();
        let evicted = async {
            evicted.await;
            Err(Evicted.into())
        };
        let received = self.receive_whole(shared, &limits);
        let (head, body) = received.or(evicted).await?;
        self.room.complete()?;
        Ok(ReceivedRequest {
            head: head.request,
            body,
            at: Instant::now(),
            close: head.close,
        })
    }

    async fn receive_whole(
        &mut self,
        shared: &Shared,
        limits: &CallerLimits,
    ) -> Result<(MessageHead, Option<Vec<u8>>), ReceiveError> {
        let head = self.receive_head(&*shared.dialect, limits);
        let head = head.or(too_slow(shared)).await?;
        let body = self.receive_body(&head, limits);
        let body = body.or(too_slow(shared)).await?;
        Ok((head, body))
    }

    /// Completes when the caller has closed the connection. Bytes beyond a bound are dropped, since
    /// a close cannot be detected without reading, and the connection then ends after the response.
    pub(crate) async fn caller_closed(&mut self) {
        loop {
            self.overrun |= self.input.buf.len() >= MAX_PIPELINED_BYTES;
            if !self.overrun && self.input.must_grow() {
                let bytes = self.input.capacity_to_fill();
                self.overrun = !self.room.try_hold_input(bytes);
            }
            let read = if self.overrun {
                // A caller that sends faster than it is read must not keep the thread.
                yield_now().await;
                self.input.discard().await
            } else {
                self.input.fill().await
            };
            if !matches!(read, Ok(n) if n > 0) {
                return;
            }
        }
    }

    /// Gives back the memory of the request; returns whether the connection takes another one.
    pub(crate) fn finish_request(&mut self, keep: bool) -> bool {
        let keep = keep && !self.overrun;
        if !keep || self.input.buf.is_empty() {
            self.input.buf = Vec::new();
        }
        self.room.release();
        keep
    }

    /// Waits for room for another read.
    async fn hold_input(&self) -> Result<(), ReceiveError> {
        let bytes = self.input.capacity_to_fill();
        Ok(self.room.hold_input(bytes).await?)
    }

    /// Waits for room for `bytes` of the request's body beside its head.
    async fn hold_body(&self, bytes: usize) -> Result<(), ReceiveError> {
        Ok(self.room.hold_request(self.head_bytes + bytes).await?)
    }

    async fn receive_head(
        &mut self,
        dialect: &dyn Dialect,
        limits: &CallerLimits,
    ) -> Result<MessageHead, ReceiveError> {
        loop {
            self.hold_input().await?;
            if let Some(head) = self.parse_head(dialect, limits)? {
                return Ok(head);
            }
            let read = self.input.fill().await?;
            self.record_read(read)?;
        }
    }

    fn parse_head(
        &mut self,
        dialect: &dyn Dialect,
        limits: &CallerLimits,
    ) -> Result<Option<MessageHead>, ReceiveError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut req = httparse::Request::new(&mut headers);
        let len = match req.parse(&self.input.buf) {
            Ok(httparse::Status::Complete(len)) if len <= limits.head_bytes => len,
            Ok(httparse::Status::Partial) if self.input.buf.len() <= limits.head_bytes => {
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
        self.input.buf.drain(..len);
        self.head_bytes = len;
        Ok(Some(head))
    }

    async fn receive_body(
        &mut self,
        head: &MessageHead,
        limits: &CallerLimits,
    ) -> Result<Option<Vec<u8>>, ReceiveError> {
        if head.expects_continue
            && head.framing != Framing::Unspecified
            && self.input.buf.is_empty()
        {
            let mut stream = &*self.input.stream;
            let sent = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            sent.map_err(|_| ReceiveError::ConnectionClosed)?;
        }
        match head.framing {
            Framing::Unspecified => Ok(None),
            Framing::Length(len) => self.receive_length(len, limits).await.map(Some),
            Framing::Chunked => self.receive_chunked(limits).await.map(Some),
        }
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
    /// Others need the connection's place.
    Evicted,
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
