//! Serves the requests of one connection.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::{Method, Response};

use crate::clock::coarse_sleep;
use crate::http::memory::Memory;
use crate::http::{
    BodyGate, ChunkScanner, Exchange, Framing, Handler, HeadError, Limits, Problem, RequestHead,
    ServerControl,
};

/// Bytes read from a socket at once.
const READ_SIZE: usize = 4 * 1024;
/// Interval at which a half-closed connection is checked for a peer that has left.
const HALF_CLOSE_CHECK: Duration = Duration::from_secs(2);
/// Interim response that a peer skips.
const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Bytes of a body read from a socket at once.
const BODY_READ_SIZE: usize = 64 * 1024;
/// Time for which a request under way on an idle connection is awaited after the stop.
const STOP_GRACE: Duration = Duration::from_millis(200);

/// Counts a request as running while it lives.
struct Running(Arc<ServerControl>);

impl Running {
    fn new(control: &Arc<ServerControl>) -> Self {
        control.running.fetch_add(1, Ordering::AcqRel);
        Self(control.clone())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// One connection being served.
pub(crate) struct Serving {
    stream: Async<TcpStream>,
    peer: SocketAddr,
    buf: Vec<u8>,
    limits: Arc<Limits>,
    handler: Arc<dyn Handler>,
    control: Arc<ServerControl>,
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.control.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Serving {
    /// Takes over a connection, which counts as open until this is dropped.
    pub(crate) fn new(
        stream: Async<TcpStream>,
        peer: SocketAddr,
        limits: Arc<Limits>,
        handler: Arc<dyn Handler>,
        control: Arc<ServerControl>,
    ) -> Self {
        control.connections.fetch_add(1, Ordering::AcqRel);
        Self {
            stream,
            peer,
            buf: Vec::new(),
            limits,
            handler,
            control,
        }
    }

    /// Serves requests until the connection ends.
    pub(crate) async fn run(mut self) {
        loop {
            match self.turn().await {
                Ok(true) => {}
                Ok(false) => return,
                Err(err) => {
                    log::debug!("event=connection_failed peer={} error={err:?}", self.peer);
                    return;
                }
            }
        }
    }

    /// Serves one request; `false` when the connection is to be closed.
    async fn turn(&mut self) -> io::Result<bool> {
        if self.buf.is_empty() && !self.wait_for_message().await? {
            return Ok(false);
        }
        let running = Running::new(&self.control);
        let limit = self.limits.message_time;
        let mut head = match self.receive_head().or(late(limit)).await {
            Ok(head) => head,
            Err(err) => return self.reject(err).await,
        };
        let close = head.close;
        let bytes = std::mem::take(&mut head.bytes);
        let decoded = async_h1::server::decode(Memory::new(bytes)).await;
        let Ok(Some((req, _))) = decoded else {
            return self.reject(HeadError::Malformed).await;
        };
        let method = req.method();
        let mut gate = None;
        if let Some(admission) = self.handler.clone().admit(&req, head.framing) {
            let decision = async { Some(admission.await) };
            gate = match decision.or(self.gone()).await {
                Some(Ok(gate)) => Some(gate),
                Some(Err(res)) => return self.turn_away(res, method).await,
                None => return Ok(false),
            };
        }
        let body = match self.receive_body(&head, &mut gate).or(late(limit)).await {
            Ok(body) => body,
            Err(err) => return self.reject(err).await,
        };
        let exchange = Exchange {
            req,
            body,
            peer: self.peer,
            gate,
        };
        let reply = self.handler.clone().handle(exchange);
        let answer = async { Some(reply.await) };
        let Some(res) = answer.or(self.gone()).await else {
            return Ok(false);
        };
        let keep = self.respond(res, method, close).await?;
        drop(running);
        Ok(keep)
    }

    /// Waits for the first byte of a message; `false` when the connection ends or idles too long.
    async fn wait_for_message(&mut self) -> io::Result<bool> {
        self.buf = Vec::new();
        let readable = async {
            self.stream.readable().await?;
            Ok::<_, io::Error>(true)
        };
        let idle = async {
            coarse_sleep(self.limits.idle_time).await;
            Ok(false)
        };
        let stop = async {
            self.control.stopped().await;
            Timer::after(STOP_GRACE).await;
            Ok(false)
        };
        if !readable.or(idle).or(stop).await? {
            return Ok(false);
        }
        Ok(self.fill().await.is_ok_and(|n| n > 0))
    }

    /// Reads more bytes behind those in `buf`; `0` at the end of the stream.
    async fn fill(&mut self) -> Result<usize, HeadError> {
        let len = self.buf.len();
        self.buf.resize(len + READ_SIZE, 0);
        let read = self.stream.read(&mut self.buf[len..]).await;
        self.buf.truncate(len + *read.as_ref().unwrap_or(&0));
        read.map_err(|_| HeadError::CutShort)
    }

    async fn receive_head(&mut self) -> Result<RequestHead, HeadError> {
        loop {
            if let Some(head) = RequestHead::parse(&self.buf, &self.limits)? {
                self.buf.drain(..head.consumed);
                return Ok(head);
            }
            if self.fill().await? == 0 {
                return Err(HeadError::CutShort);
            }
        }
    }

    async fn receive_body(
        &mut self,
        head: &RequestHead,
        gate: &mut Option<Box<dyn BodyGate>>,
    ) -> Result<Vec<u8>, HeadError> {
        if head.expects_continue && head.framing != Framing::Unstated {
            let _ = self
                .stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await;
        }
        match head.framing {
            Framing::Unstated => Ok(Vec::new()),
            Framing::Length(len) => self.receive_length(len, gate).await,
            Framing::Chunked => self.receive_chunked().await,
        }
    }

    async fn receive_length(
        &mut self,
        len: u64,
        gate: &mut Option<Box<dyn BodyGate>>,
    ) -> Result<Vec<u8>, HeadError> {
        let len = usize::try_from(len).map_err(|_| HeadError::BodyTooLarge)?;
        if len > self.limits.body_bytes {
            return Err(HeadError::BodyTooLarge);
        }
        while self.buf.len() < len {
            let left = len - self.buf.len();
            let allowed = match gate {
                Some(gate) => gate.next(left).await,
                None => left,
            };
            self.receive_part(allowed.clamp(1, left)).await?;
        }
        let rest = self.buf.split_off(len);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    /// Reads exactly `len` bytes of a body.
    async fn receive_part(&mut self, len: usize) -> Result<(), HeadError> {
        let end = self.buf.len() + len;
        while self.buf.len() < end {
            let at = self.buf.len();
            let size = (end - at).min(BODY_READ_SIZE);
            self.buf.resize(at + size, 0);
            let read = self.stream.read(&mut self.buf[at..]).await;
            self.buf.truncate(at + *read.as_ref().unwrap_or(&0));
            if read.map_err(|_| HeadError::CutShort)? == 0 {
                return Err(HeadError::CutShort);
            }
        }
        Ok(())
    }

    async fn receive_chunked(&mut self) -> Result<Vec<u8>, HeadError> {
        let mut scanner = ChunkScanner::new();
        let mut body = Vec::new();
        loop {
            let n = scanner.feed(&self.buf, Some(&mut body))?;
            self.buf.drain(..n);
            if body.len() > self.limits.body_bytes {
                return Err(HeadError::BodyTooLarge);
            }
            if scanner.is_done() {
                return Ok(body);
            }
            if self.fill().await? == 0 {
                return Err(HeadError::CutShort);
            }
        }
    }

    async fn reject(&mut self, err: HeadError) -> io::Result<bool> {
        let res = Problem::not_run(err.status(), "bad-message", err.to_string()).into_response();
        self.turn_away(res, Method::Post).await
    }

    /// Answers without having read the whole message and closes the connection.
    async fn turn_away(&mut self, res: Response, method: Method) -> io::Result<bool> {
        self.respond(res, method, true).await?;
        self.linger().await;
        Ok(false)
    }

    /// Reads what the peer still sends, so that the close does not reset the answer away.
    async fn linger(&mut self) {
        let mut stream = &self.stream;
        let _ = stream.get_ref().shutdown(std::net::Shutdown::Write);
        let mut chunk = [0; 512];
        let drain = async { while matches!(stream.read(&mut chunk).await, Ok(n) if n > 0) {} };
        let late = async {
            Timer::after(Duration::from_secs(1)).await;
        };
        drain.or(late).await;
    }

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
        futures_lite::io::copy(&mut encoder, &mut self.stream).await?;
        self.stream.flush().await?;
        Ok(!close)
    }

    /// Completes when a peer that ended its side also closed the other.
    ///
    /// Both look alike until something is sent: an interim response (RFC 9110, section 15.2) is
    /// skipped by a peer that still reads and answered with a reset by one that has left.
    async fn gone_after_half_close<T>(&self) -> Option<T> {
        loop {
            Timer::after(HALF_CLOSE_CHECK).await;
            match self.stream.get_ref().write(INTERIM) {
                Err(err) if err.kind() != io::ErrorKind::WouldBlock => return None,
                _ => {}
            }
        }
    }

    /// Completes when the peer has left: its connection is reset, or closed after a half-close.
    async fn gone<T>(&self) -> Option<T> {
        let mut byte = [0];
        loop {
            if self.stream.readable().await.is_err() {
                return None;
            }
            match self.stream.get_ref().peek(&mut byte) {
                Ok(0) => return self.gone_after_half_close().await,
                Ok(_) => std::future::pending::<()>().await,
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
    }
}

async fn late<T>(limit: Duration) -> Result<T, HeadError> {
    coarse_sleep(limit).await;
    Err(HeadError::TooSlow)
}
