//! One attempt to serve a request, at one target.

use std::net::SocketAddr;

use http_types::StatusCode;

use crate::caller::RunId;
use crate::prelude::*;

/// An attempt that was dispatched to one target.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Number within the request, counted from one; zero when a caller resumes a stream.
    pub number: u32,
    /// Name of the target.
    pub target: Name,
    /// Address of the target.
    pub address: SocketAddr,
    /// Weight version to run; empty for plain services.
    pub weights: Name,
    /// Id of the run at the target.
    pub run: RunId,
}

/// A response without streaming, received in full.
#[derive(Clone, Debug)]
pub(crate) struct FullResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Value of the `content-type` header.
    pub content_type: Name,
    /// Body, as received.
    pub body: Vec<u8>,
}
