//! Decisions on a request before its body is read.

use std::fmt;
use std::future::Future;
use std::pin::Pin;

use http_types::Response;

/// Paces the reading of one request's body; it is kept until the exchange has been answered.
pub trait BodyGate: Send + Sync {
    /// Completes when up to `bytes` more bytes may be read and returns how many.
    fn next(&mut self, bytes: usize) -> Pin<Box<dyn Future<Output = usize> + Send + '_>>;
}

impl fmt::Debug for dyn BodyGate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BodyGate(..)")
    }
}

/// Future of the decision whether a request's body is read; an error is answered at once and the
/// connection closed.
pub type Admission = Pin<Box<dyn Future<Output = Result<Box<dyn BodyGate>, Response>> + Send>>;
