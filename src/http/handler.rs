//! Requests received by a server and the handlers that answer them.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use http_types::{Request, Response};

use crate::http::{AdmissionFuture, BodyThrottle, Framing};

/// Request received by a server, with its complete body.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Method, URL and headers; the body of this value is empty.
    pub req: Request,
    /// Complete body, as long as its framing stated.
    pub body: Vec<u8>,
    /// Remote address of the connection.
    pub peer: SocketAddr,
    /// Throttle that paced the reading of the body, if there was one.
    pub throttle: Option<Box<dyn BodyThrottle>>,
}

impl IncomingRequest {
    /// Last value of the header `name`, if present.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.req.header(name).map(|v| v.last().as_str())
    }
}

/// Future of the response to a request.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// Answers requests; a pending response future is dropped when the peer disconnects.
pub trait Handler: Send + Sync {
    /// Answers one request.
    fn handle(self: Arc<Self>, request: IncomingRequest) -> ResponseFuture;

    /// Decides on a request before its body is read; with `None` the body is read unthrottled.
    fn admit(self: Arc<Self>, _head: &Request, _body: Framing) -> Option<AdmissionFuture> {
        None
    }
}
