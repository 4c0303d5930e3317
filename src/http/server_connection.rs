//! Server side of one HTTP connection.

mod input;

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::{Method, Response};

use crate::clock::coarse_sleep;
use crate::http::head_stream::HeadStream;
use crate::http::response_writer::ResponseWriter;
use crate::http::{
    Handler, IncomingRequest, Limits, MessageError, Problem, RequestHead, ServerControl,
    read_arrived,
};
use crate::shared_intake::IntakePermit;

/// Bytes read from a socket in one call, except for bodies of stated length.
const READ_BYTES: usize = 4 * 1024;
/// Interval at which a half-closed connection is probed for a full close.
const HALF_CLOSE_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Interim response, which clients skip (RFC 9110, section 15.2).
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Time after which the caller of a request for which there is no memory is asked to return.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time without a byte after which no more are read after the last response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which they are read.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(3);
/// Maximum number of bytes that are read after the last response.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// Time after the stop in which an idle connection may still receive a request already in transit.
const STOP_GRACE: Duration = Duration::from_millis(200);

/// Why a connection stops waiting for a message.
enum Wakeup {
    /// Bytes may have arrived.
    Readable,
    /// The idle timeout has passed, or others need the connection's place.
    Idle,
    /// The server has stopped.
    Stopped,
}

/// Guard that counts a request as running until dropped.
struct RunningRequest(Arc<ServerControl>);

impl RunningRequest {
    fn new(control: &Arc<ServerControl>) -> Self {
        control.running_requests.fetch_add(1, Ordering::AcqRel);
        Self(control.clone())
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.running_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// One open connection.
pub(crate) struct ServerConnection {
    stream: Async<TcpStream>,
    peer: SocketAddr,
    buf: Vec<u8>,
    permit: IntakePermit,
    limits: Arc<Limits>,
    handler: Arc<dyn Handler>,
    control: Arc<ServerControl>,
}

impl Drop for ServerConnection {
    fn drop(&mut self) {
        self.control.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

impl ServerConnection {
    /// Wraps an accepted stream; the connection counts as open until this is dropped.
    pub(crate) fn new(
        stream: Async<TcpStream>,
        peer: SocketAddr,
        permit: IntakePermit,
        limits: Arc<Limits>,
        handler: Arc<dyn Handler>,
        control: Arc<ServerControl>,
    ) -> Self {
        control.connections.fetch_add(1, Ordering::AcqRel);
        Self {
            stream,
            peer,
            buf: Vec::new(),
            permit,
            limits,
            handler,
            control,
        }
    }

    /// Serves requests until the connection ends.
    pub(crate) async fn run(mut self) {
        loop {
            match self.serve_request().await {
                Ok(true) => self.permit.release(),
                Ok(false) => return,
                Err(err) => {
                    log::debug!("event=connection_failed peer={} error={err:?}", self.peer);
                    return;
                }
            }
        }
    }

    /// Serves one request; `false` when the connection must be closed.
    async fn serve_request(&mut self) -> io::Result<bool> {
        if self.buf.is_empty() && !self.wait_for_message().await? {
            return Ok(false);
        }
        let running = RunningRequest::new(&self.control);
        let timeout = self.limits.message_timeout;
        let evicted = self.permit.evicted();
        let head = self.receive_head().or(time_out(timeout));
        let mut head = match head.or(evict(evicted)).await {
            Ok(head) => head,
            Err(err) => return self.reject(err).await,
        };
        let close = head.close;
        let bytes = std::mem::take(&mut head.bytes);
        let decoded = async_h1::server::decode(HeadStream::new(bytes)).await;
        let Ok(Some((req, _))) = decoded else {
            return self.reject(MessageError::Malformed).await;
        };
        let method = req.method();
        let mut throttle = None;
        if let Some(admission) = self.handler.clone().admit(&req, head.framing) {
            let decision = async { Some(admission.await) };
            throttle = match decision.or(self.peer_disconnected()).await {
                Some(Ok(throttle)) => Some(throttle),
                Some(Err(res)) => return self.respond_and_close(res, method).await,
                None => return Ok(false),
            };
        }
        let evicted = self.permit.evicted();
        let body = self.receive_body(&head, &mut throttle);
        let body = match body.or(time_out(timeout)).or(evict(evicted)).await {
            Ok(body) => body,
            Err(err) => return self.reject(err).await,
        };
        if self.permit.complete().is_err() {
            return self.reject(MessageError::NoMemory).await;
        }
        let request = IncomingRequest {
            req,
            body,
            peer: self.peer,
            throttle,
        };
        let response = self.handler.clone().handle(request);
        let response = async { Some(response.await) };
        let Some(res) = response.or(self.peer_disconnected()).await else {
            return Ok(false);
        };
        let keep = self.respond(res, method, close).await?;
        drop(running);
        Ok(keep)
    }

    /// Waits for the first bytes of a message; `false` when the connection ends, idles too long or
    /// the server stops. Bytes that have arrived by the idle timeout or an eviction are read
    /// nevertheless, since the reactor may report them later.
    async fn wait_for_message(&mut self) -> io::Result<bool> {
        self.buf = Vec::new();
        let readable = async {
            self.stream.readable().await?;
            Ok::<_, io::Error>(Wakeup::Readable)
        };
        let idle = async {
            coarse_sleep(self.limits.idle_timeout).await;
            Ok(Wakeup::Idle)
        };
        let stop = async {
            self.control.stopped().await;
            Timer::after(STOP_GRACE).await;
            Ok(Wakeup::Stopped)
        };
        let evicted = async {
            self.permit.evicted().await;
            Ok(Wakeup::Idle)
        };
        let arrived = match readable.or(idle).or(stop).or(evicted).await? {
            Wakeup::Readable => self.fill().await.is_ok_and(|n| n > 0),
            Wakeup::Idle => {
                let stream = self.stream.get_ref();
                read_arrived(stream, &mut self.buf, READ_BYTES).unwrap_or(false)
            }
            Wakeup::Stopped => false,
        };
        Ok(arrived)
    }

    /// Receives and parses a request head and removes it from `buf`.
    async fn receive_head(&mut self) -> Result<RequestHead, MessageError> {
        loop {
            self.hold(0).await?;
            if let Some(head) = RequestHead::parse(&self.buf, &self.limits)? {
                self.buf.drain(..head.consumed);
                return Ok(head);
            }
            let read = self.fill().await?;
            self.record_read(read)?;
        }
    }

    /// Responds to an invalid message and closes the connection.
    async fn reject(&mut self, err: MessageError) -> io::Result<bool> {
        let mut problem = Problem::not_run(err.status(), "bad-message", err.to_string());
        if err == MessageError::NoMemory {
            problem = problem.with_retry_after(NO_MEMORY_RETRY_AFTER);
        }
        let res = problem.into_response();
        // The request's method may be unknown; with any method but HEAD the body is sent.
        self.respond_and_close(res, Method::Post).await
    }

    /// Sends a response before the complete message was read, then closes the connection.
    async fn respond_and_close(&mut self, res: Response, method: Method) -> io::Result<bool> {
        self.buf = Vec::new();
        self.permit.release();
        self.respond(res, method, true).await?;
        self.discard_input().await;
        Ok(false)
    }

    /// Discards what the peer still sends: closing a socket with unread bytes resets the connection, and
    /// the peer may lose the response.
    async fn discard_input(&mut self) {
        let mut stream = &self.stream;
        let _ = stream.get_ref().shutdown(std::net::Shutdown::Write);
        let mut buf = vec![0; READ_BYTES];
        let drain = async {
            let mut left = MAX_DISCARDED_BYTES;
            loop {
                let silence = async {
                    coarse_sleep(DISCARD_TIMEOUT).await;
                    Ok(0)
                };
                match stream.read(&mut buf).or(silence).await {
                    Ok(read @ 1..) if read < left => left -= read,
                    _ => return,
                }
                yield_now().await;
            }
        };
        drain.or(coarse_sleep(MAX_DISCARD_TIME)).await;
    }

    /// Sends a response; `false` when the connection must be closed.
    async fn respond(
        &mut self,
        mut res: Response,
        method: Method,
        close: bool,
    ) -> io::Result<bool> {
        let close = close || self.control.draining.load(Ordering::Acquire);
        if close {
            res.insert_header("connection", "close");
        }
        let mut encoder = async_h1::server::Encoder::new(res, method);
        let evicted = self.permit.evicted();
        let evicted = async {
            evicted.await;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        let mut writer = ResponseWriter::new(&self.stream, &self.permit);
        let sent = async {
            futures_lite::io::copy(&mut encoder, &mut writer).await?;
            writer.flush().await
        };
        sent.or(evicted).await?;
        Ok(!close)
    }

    /// Completes when a peer that shut down its sending side has closed the connection.
    ///
    /// The two look the same until something is sent: a peer that still reads skips an interim
    /// response (RFC 9110, section 15.2), while one that has closed answers with a reset.
    async fn disconnected_after_half_close<T>(&self) -> Option<T> {
        loop {
            Timer::after(HALF_CLOSE_PROBE_INTERVAL).await;
            match self.stream.get_ref().write(INTERIM_RESPONSE) {
                Err(err) if err.kind() != io::ErrorKind::WouldBlock => return None,
                _ => {}
            }
        }
    }

    /// Completes with `None` when the peer has reset the connection or closed it completely.
    ///
    /// Never completes once bytes beyond those read have arrived, such as a pipelined request: the
    /// end of the connection cannot be seen behind them.
    async fn peer_disconnected<T>(&self) -> Option<T> {
        let mut byte = [0];
        loop {
            if self.stream.readable().await.is_err() {
                return None;
            }
            match self.stream.get_ref().peek(&mut byte) {
                Ok(0) => return self.disconnected_after_half_close().await,
                Ok(_) => std::future::pending::<()>().await,
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
    }
}

/// Fails with [`MessageError::NoMemory`] once the connection is evicted.
async fn evict<T>(evicted: impl Future<Output = ()>) -> Result<T, MessageError> {
    evicted.await;
    Err(MessageError::NoMemory)
}

/// Fails with [`MessageError::TooSlow`] after `limit`.
async fn time_out<T>(limit: Duration) -> Result<T, MessageError> {
    coarse_sleep(limit).await;
    Err(MessageError::TooSlow)
}
