//! Responses that the gateway generates for requests that it refuses.

use crate::gateway::LocalResponse;
use crate::http::RunState;
use crate::prelude::*;
use crate::scheduler::Refusal;

/// The response to a request that the scheduler refused; status 503 guarantees that it has not
/// run and never will.
pub(crate) fn refused(refusal: &Refusal) -> LocalResponse {
    let not_run = refusal.run() == RunState::NotRun;
    LocalResponse {
        status: if not_run { 503 } else { 502 },
        code: refusal.code(),
        retry_after: not_run.then(|| refusal.retry_after()),
    }
}

/// The response to a request with a part of a prompt that is held back.
pub(crate) fn held_back(retry_after: Duration) -> LocalResponse {
    let run = RunState::NotRun;
    refused(&Refusal::Quarantined { retry_after, run })
}

/// The response to a request that failed and that a target may have run.
pub(crate) fn unknown_fate() -> LocalResponse {
    rejected(502, "target-failed")
}

/// The response to a request whose deadline has passed.
pub(crate) fn deadline_passed(may_have_been_sent: bool) -> LocalResponse {
    LocalResponse {
        status: if may_have_been_sent { 504 } else { 503 },
        code: "deadline-passed",
        retry_after: (!may_have_been_sent).then_some(Duration::ZERO),
    }
}

/// The response to a request that takes up a stream of which no entry knows where it began.
pub(crate) fn unknown_origin() -> LocalResponse {
    LocalResponse {
        status: 503,
        code: "stream-unknown",
        retry_after: Some(Duration::from_millis(500)),
    }
}

/// The response to a request for which there is no memory; nothing of it was sent to a target.
pub(crate) fn no_memory(retry_after: Duration) -> LocalResponse {
    LocalResponse {
        status: 503,
        code: "no-memory",
        retry_after: Some(retry_after),
    }
}

/// The response while no configuration is known.
pub(crate) fn unconfigured() -> LocalResponse {
    LocalResponse {
        status: 503,
        code: "no-configuration",
        retry_after: Some(Duration::from_millis(500)),
    }
}

/// The response to a request that is invalid, so that a retry would fail as well.
pub(crate) fn rejected(status: u16, code: &'static str) -> LocalResponse {
    LocalResponse {
        status,
        code,
        retry_after: None,
    }
}
