//! Requests as handlers see them.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use http_types::{Request, Response};

use crate::http::{Admission, BodyGate, Framing};

/// One request with its whole body.
#[derive(Debug)]
pub struct Exchange {
    /// Method, URL and headers; its own body is empty.
    pub req: Request,
    /// The whole body, already checked against its stated length.
    pub body: Vec<u8>,
    /// Address of the caller's connection.
    pub peer: SocketAddr,
    /// Gate through which the body came, if its reading was gated.
    pub gate: Option<Box<dyn BodyGate>>,
}

impl Exchange {
    /// Value of a header, if given.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.req.header(name).map(|v| v.last().as_str())
    }
}

/// Future of a response.
pub type Reply = Pin<Box<dyn Future<Output = Response> + Send>>;

/// Answers requests; its future is dropped when the caller's connection is reset.
pub trait Handler: Send + Sync {
    /// Answers one request.
    fn handle(self: Arc<Self>, exchange: Exchange) -> Reply;

    /// Decides on a request whose head is read and whose body is not; `None` reads the body without
    /// a gate.
    fn admit(self: Arc<Self>, _head: &Request, _body: Framing) -> Option<Admission> {
        None
    }
}
