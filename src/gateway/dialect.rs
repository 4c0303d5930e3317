//! Interface between the gateway and the wire format of requests and responses.

use std::fmt;

use crate::context_store::TransferPlan;
use crate::gateway::RequestHead;
use crate::http::HeaderText;
use crate::prelude::*;
use crate::rate_limit::NamedLimit;

/// Why a request's head was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestHeadError {
    /// A required header is missing.
    Missing(&'static str),
    /// A header's value is malformed.
    Malformed(&'static str),
}

impl fmt::Display for RequestHeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(header) => write!(f, "header {header} is missing"),
            Self::Malformed(header) => write!(f, "header {header} cannot be read"),
        }
    }
}

impl std::error::Error for RequestHeadError {}

/// Data that an attempt sends to its target in addition to the caller's request.
#[derive(Clone, Debug, Default)]
pub struct Dispatch {
    /// Name of the target; any other target must not run the request.
    pub target: HeaderText,
    /// Time until the request times out.
    pub time_left: Duration,
    /// Customer, unless the route is public.
    pub customer: Option<HeaderText>,
    /// Weight version that must run the request; `None` for plain services.
    pub weights: Option<u64>,
    /// Scope within which cached context may be shared.
    pub cache_scope: Option<HeaderText>,
    /// Urgency at the target, where zero is the most urgent.
    pub urgency: Option<u8>,
    /// ID of the event after which a stream is resumed.
    pub last_event: Option<u64>,
    /// Transfers of the prompt's parts from and to context stores.
    pub transfers: TransferPlan,
    /// Deadline of fetches on the targets' clock, in milliseconds; a later fetch is discarded.
    pub fetch_until_ms: Option<u64>,
    /// Length of the body, in bytes; `None` without a body.
    pub body_bytes: Option<usize>,
}

/// What a target reports about the run of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunReport {
    /// Nothing was reported, so the request may have run.
    #[default]
    Unknown,
    /// The request has not run and never will.
    NotRun,
    /// The request has not run: it reached another target than the intended one, or a target with
    /// other weights.
    Misdirected,
}

impl RunReport {
    /// Whether the target stated that it did not run the request.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        self != Self::Unknown
    }
}

/// What a target says of itself in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetPresence {
    /// It says nothing, or that it goes on taking requests.
    #[default]
    Staying,
    /// It is leaving and wants no further requests.
    Leaving,
}

/// Decoded headers of a target's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// What the target reports about the run.
    pub run: RunReport,
    /// ID of the request that the response belongs to.
    pub request: Option<Name>,
    /// Name of the target.
    pub target: Option<Name>,
    /// Weight version that produced the response.
    pub weights: Option<u64>,
    /// Time for which the target keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// Whether the target closes the connection after this response.
    pub close: bool,
    /// Whether the response has the header that only a target that ran the request sets.
    pub from_target: bool,
    /// Whether the body has a content coding, which no caller requested.
    pub encoded: bool,
    /// Whether the target says that it is leaving.
    pub presence: TargetPresence,
    /// Time after which the target accepts a retry.
    pub retry_after: Option<Duration>,
    /// Requests that the target may turn away in a second without falling over, if it is brittle.
    pub brittle: Option<u32>,
    /// Limit on the requests that all entries together may send to the target.
    pub limit: NamedLimit,
    /// How much longer the target is cold, if it says so.
    pub cold: Option<Duration>,
}

/// A response that the gateway generates itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalResponse {
    /// HTTP status.
    pub status: u16,
    /// Stable code of the error.
    pub code: &'static str,
    /// Time after which the caller may retry, if the request has not run.
    pub retry_after: Option<Duration>,
}

/// Encodes and decodes message heads.
pub trait Dialect: Send + Sync {
    /// Decodes a caller's request.
    ///
    /// # Errors
    /// An error with the name of the missing or malformed header.
    fn decode_request(
        &self,
        head: &httparse::Request<'_, '_>,
    ) -> Result<RequestHead, RequestHeadError>;

    /// Appends the head of the request to a target.
    fn encode_request(&self, head: &RequestHead, dispatch: &Dispatch, out: &mut Vec<u8>);

    /// Decodes the headers of a target's response.
    fn decode_response(&self, head: &httparse::Response<'_, '_>) -> ResponseInfo;

    /// Appends a complete response that the gateway generates.
    fn encode_local_response(
        &self,
        head: Option<&RequestHead>,
        local_response: &LocalResponse,
        close: bool,
        out: &mut Vec<u8>,
    );

    /// Path of the load balancer's readiness check.
    fn ready_path(&self) -> &str;
}
