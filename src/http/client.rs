//! Client side of one HTTP connection.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, FutureExt};
use http_types::{Method, Request, Response};

use crate::http::response_reader::ResponseReader;
use crate::http::{ExchangeError, MessageError, connect, enable_dead_peer_detection};

/// A connection that carries one exchange at a time.
#[derive(Debug)]
pub struct Connection {
    stream: Arc<Async<TcpStream>>,
}

impl Connection {
    /// Connects to `addr` within `timeout`.
    ///
    /// # Errors
    /// [`ExchangeError::Connect`] when no connection is made in time.
    pub async fn open(addr: SocketAddr, timeout: Duration) -> Result<Self, ExchangeError> {
        let connected = connect(addr);
        let timed_out = async {
            Timer::after(timeout).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let stream = connected
            .or(timed_out)
            .await
            .map_err(ExchangeError::Connect)?;
        enable_dead_peer_detection(stream.get_ref());
        Ok(Self {
            stream: Arc::new(stream),
        })
    }

    /// Returns whether an idle connection was closed or received unexpected bytes.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        let mut byte = [0];
        match self.stream.get_ref().peek(&mut byte) {
            Err(err) => err.kind() != io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    /// Sends `req` and reads the head of the response.
    ///
    /// # Errors
    /// [`ExchangeError::Sent`] when the connection fails or ends before the response's head,
    /// [`ExchangeError::BadAnswer`] when the head or its framing is invalid.
    pub async fn send(self, req: Request) -> Result<ClientResponse, ExchangeError> {
        let no_body = req.method() == Method::Head;
        let mut encoder = async_h1::client::Encoder::new(req);
        let mut out = &*self.stream;
        futures_lite::io::copy(&mut encoder, &mut out)
            .await
            .map_err(ExchangeError::Sent)?;
        let ended_cleanly = Arc::new(AtomicBool::new(false));
        let reader = ResponseReader::new(self.stream.clone(), no_body, ended_cleanly.clone());
        let res = async_h1::client::decode(reader)
            .await
            .map_err(response_error)?;
        Ok(ClientResponse {
            res,
            ended_cleanly,
            stream: self.stream,
        })
    }
}

fn response_error(err: http_types::Error) -> ExchangeError {
    match err.downcast::<io::Error>() {
        Ok(err) => match err.get_ref().and_then(|e| e.downcast_ref::<MessageError>()) {
            Some(MessageError::CutShort) | None => ExchangeError::Sent(err),
            Some(invalid) => ExchangeError::BadAnswer(*invalid),
        },
        Err(_) => ExchangeError::BadAnswer(MessageError::Malformed),
    }
}

/// Response to a request; reading its body fails when it is truncated.
#[derive(Debug)]
pub struct ClientResponse {
    /// Status, headers and body.
    pub res: Response,
    /// Set once the response was read to its end and no bytes follow it.
    ended_cleanly: Arc<AtomicBool>,
    stream: Arc<Async<TcpStream>>,
}

impl ClientResponse {
    /// Last value of the header `name`, if present.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.res.header(name).map(|v| v.last().as_str())
    }

    /// Reads the next part of the body into `buf`; `0` at the end of the body.
    ///
    /// # Errors
    /// [`ExchangeError::Body`] when the body is truncated.
    pub async fn read(&mut self, buf: &mut [u8]) -> Result<usize, ExchangeError> {
        self.res.read(buf).await.map_err(ExchangeError::Body)
    }

    /// Reads the whole body of at most `limit` bytes.
    ///
    /// # Errors
    /// [`ExchangeError::Body`] when the body is truncated, [`ExchangeError::BadAnswer`] when it is
    /// longer than `limit`.
    pub async fn bytes(&mut self, limit: usize) -> Result<Vec<u8>, ExchangeError> {
        let mut out = Vec::with_capacity(self.res.len().unwrap_or(0).min(limit));
        let mut buf = vec![0; 16 * 1024];
        loop {
            let n = self.read(&mut buf).await?;
            if n == 0 {
                return Ok(out);
            }
            if out.len() + n > limit {
                return Err(ExchangeError::BadAnswer(MessageError::BodyTooLarge));
            }
            out.extend_from_slice(&buf[..n]);
        }
    }

    /// Returns the connection for reuse if the response ended cleanly and does not close it.
    #[must_use]
    pub fn into_connection(self) -> Option<Connection> {
        let keep = self.header("connection") != Some("close");
        let reusable = keep && self.ended_cleanly.load(Ordering::Acquire);
        reusable.then_some(Connection {
            stream: self.stream,
        })
    }
}
