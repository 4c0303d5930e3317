//! Admission of a request before its body is read.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use http_types::Response;

/// Paces the reading of one request's body of stated length; a chunked body is not paced.
///
/// The handler receives it as [`IncomingRequest::throttle`](crate::http::IncomingRequest::throttle)
/// and keeps it until the request has been answered.
pub trait BodyThrottle: Send + Sync {
    /// Waits until more of the body may be read; returns the number of bytes, at most `bytes`.
    fn acquire(&mut self, bytes: usize) -> Pin<Box<dyn Future<Output = usize> + Send + '_>>;
}

impl fmt::Debug for dyn BodyThrottle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BodyThrottle(..)")
    }
}

/// Future of the decision whether a request's body is read; an error response is sent without
/// reading the body and the connection is closed.
pub type AdmissionFuture =
    Pin<Box<dyn Future<Output = Result<Box<dyn BodyThrottle>, Response>> + Send>>;
