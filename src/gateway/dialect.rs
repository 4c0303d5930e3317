//! The border between the gateway and the wire.

use std::fmt;

use crate::context_store::TransferPlan;
use crate::gateway::Call;
use crate::prelude::*;

/// Why a request's head was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// A header that every request needs is missing.
    Missing(&'static str),
    /// A header's value cannot be read.
    Malformed(&'static str),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(header) => write!(f, "header {header} is missing"),
            Self::Malformed(header) => write!(f, "header {header} cannot be read"),
        }
    }
}

impl std::error::Error for CallError {}

/// What one attempt tells its target besides the caller's request.
#[derive(Clone, Debug, Default)]
pub struct Dispatch {
    /// Name of the target; any other must not run the request.
    pub target: Name,
    /// Time until the request is given up.
    pub time_left: Duration,
    /// Customer, unless the route is public.
    pub customer: Option<Name>,
    /// Weight version that must run it; `None` for plain services.
    pub weights: Option<u64>,
    /// Text under which cached context may be shared.
    pub cache_scope: Option<Name>,
    /// Urgency at the target, zero first.
    pub urgency: Option<u8>,
    /// Event behind which the stream goes on.
    pub last_event: Option<u64>,
    /// Transfers of the prompt's parts from and to stores of context.
    pub kept: TransferPlan,
    /// Reading of the targets' clock after which a fetch is thrown away.
    pub fetch_until_ms: Option<u64>,
    /// Length of the body; `None` sends none.
    pub body_bytes: Option<usize>,
}

/// What a target's answer says of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunWord {
    /// Nothing: it may have run.
    #[default]
    Unsaid,
    /// It has not run and never will.
    NotRun,
    /// It has not run: the target is another than the one asked for, or runs other weights.
    Misdirected,
}

impl RunWord {
    /// Whether the target proves that it did not run the request.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        self != Self::Unsaid
    }
}

/// What a target's answer says of the exchange.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerFacts {
    /// What the target says of the run.
    pub run: RunWord,
    /// Request that the answer belongs to.
    pub request: Option<Name>,
    /// Name of the target.
    pub target: Option<Name>,
    /// Weight version that made the answer.
    pub weights: Option<u64>,
    /// Time for which the target keeps an idle connection.
    pub idle_time: Option<Duration>,
    /// The target closes the connection after this answer.
    pub close: bool,
    /// The answer bears the mark of a target that ran the request.
    pub signed: bool,
    /// The body is encoded, which no caller asked for.
    pub encoded: bool,
    /// When the target wants the request again.
    pub retry_after: Option<Duration>,
}

/// A final answer of the gateway itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnAnswer {
    /// HTTP status.
    pub status: u16,
    /// Stable code of the reason.
    pub code: &'static str,
    /// When to come back, if the request has not run.
    pub retry_after: Option<Duration>,
}

/// Translates heads of messages between the wire and the gateway's types.
pub trait Dialect: Send + Sync {
    /// Decodes a caller's request.
    ///
    /// # Errors
    /// A [`CallError`] naming the header at fault.
    fn decode_call(&self, head: &httparse::Request<'_, '_>) -> Result<Call, CallError>;

    /// Appends the head of the request that a target gets.
    fn encode_request(&self, call: &Call, dispatch: &Dispatch, out: &mut Vec<u8>);

    /// Decodes what a target's answer says of the exchange.
    fn decode_answer(&self, head: &httparse::Response<'_, '_>) -> AnswerFacts;

    /// Appends a whole answer of the gateway itself.
    fn encode_own(&self, call: Option<&Call>, answer: &OwnAnswer, close: bool, out: &mut Vec<u8>);

    /// Path of the question whether this entry takes callers.
    fn ready_path(&self) -> &str;
}
