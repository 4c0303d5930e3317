//! What an attempt of a request came to.

use std::fmt;

use crate::gateway::response_head::ResponseHead;
use crate::gateway::response_reader::ResponseError;
use crate::gateway::{ResponseInfo, RunReport};
use crate::http::InvalidHeaderText;
use crate::scheduler::AttemptOutcome;

/// Response of a target.
pub(crate) enum TargetResponse {
    /// A complete response, which was not sent to the caller yet.
    Complete(ResponseHead, Vec<u8>),
    /// A stream, which was relayed to its end.
    Streamed,
    /// A response whose status says without proof that the request has not run.
    UnprovenRefusal,
}

/// Why an attempt got no response.
#[derive(Debug)]
pub(crate) enum AttemptError {
    /// No connection to the target was made, so that no byte was sent.
    NotSent,
    /// No byte was sent, since the request's deadline has passed, or the target is leaving, asked for
    /// a pause, has a limit or a warm-up against which the request was not counted, or runs another
    /// software version than the stream needs.
    Withheld,
    /// No byte was sent, since the target, or every peer through which it is reached, is outside the
    /// regions in which the request may be processed.
    OutsideRegions,
    /// No byte was sent, since the target's failure domain is evacuated.
    Evacuated,
    /// No byte was sent, since no header field carries the name of the target or the customer.
    Unnameable(InvalidHeaderText),
    /// The target stated that it did not run the request.
    Refused(ResponseInfo),
    /// A response arrived that may belong to another request, so that the target may run this one.
    Doubtful(ResponseInfo),
    /// No valid response was received, and the target may have run the request.
    Response(ResponseError),
    /// The own connection on which the request was sent hangs, while peers reach the target.
    PathLost,
    /// Writing to the caller failed.
    CallerLeft,
}

impl AttemptError {
    /// Whether the error may come from an idle connection and not from the target: it was closed, or
    /// carried a response to no request.
    pub(crate) fn may_be_of_idle_connection(&self) -> bool {
        matches!(
            self,
            Self::Response(ResponseError::NoResponse) | Self::Doubtful(_)
        )
    }

    /// Whether the target has not run the request that was sent, if any was.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotSent
                | Self::Withheld
                | Self::OutsideRegions
                | Self::Evacuated
                | Self::Unnameable(_)
                | Self::Refused(_)
        )
    }

    /// Outcome that is reported to the scheduler.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::NotSent => AttemptOutcome::NotSent,
            Self::Withheld | Self::OutsideRegions | Self::Evacuated | Self::Unnameable(_) => {
                AttemptOutcome::Withheld
            }
            Self::Refused(info) | Self::Doubtful(info) => AttemptOutcome::Refused {
                retry_after: info.retry_after,
            },
            Self::Response(ResponseError::NoResponse) => AttemptOutcome::Lost,
            Self::Response(ResponseError::NoMemory) => AttemptOutcome::TargetError,
            Self::Response(_) => AttemptOutcome::CutShort,
            Self::PathLost => AttemptOutcome::PathLost,
            Self::CallerLeft => AttemptOutcome::Cancelled,
        }
    }
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => f.write_str("not-sent (no connection)"),
            Self::Withheld => {
                f.write_str("withheld (too late, or the target is leaving, paused or at its limit)")
            }
            Self::OutsideRegions => f.write_str("withheld (outside the allowed regions)"),
            Self::Evacuated => {
                f.write_str("evacuated (nothing may be sent to the target's domain)")
            }
            Self::Unnameable(reason) => write!(f, "unnameable (a name {reason})"),
            Self::Refused(info) if info.run == RunReport::Misdirected => {
                let weights = info.weights.unwrap_or_default();
                write!(f, "misdirected (another target or weights {weights})")
            }
            Self::Refused(_) => f.write_str("not-run (the target refused it)"),
            Self::Doubtful(_) => {
                f.write_str("doubtful (a response that may belong to another request)")
            }
            Self::Response(ResponseError::NoResponse) => {
                f.write_str("lost (connection ended without an answer)")
            }
            Self::Response(ResponseError::CutShort) => {
                f.write_str("cut-short (connection ended in the answer)")
            }
            Self::Response(ResponseError::Malformed) => {
                f.write_str("garbled (bytes that are no answer)")
            }
            Self::Response(ResponseError::NoMemory) => {
                f.write_str("no-memory (the response has no room)")
            }
            Self::PathLost => {
                f.write_str("path-lost (the connection hangs, peers reach the target)")
            }
            Self::CallerLeft => f.write_str("caller-left (it cannot be written to)"),
        }
    }
}
