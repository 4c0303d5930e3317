//! Final answers of the gateway itself.

use crate::gateway::OwnAnswer;
use crate::http::RunState;
use crate::prelude::*;
use crate::scheduler::Refusal;

/// The answer to a request that the desk gave up; 503 promises that it has not run and never will.
pub(crate) fn refused(refusal: &Refusal) -> OwnAnswer {
    let not_run = refusal.run() == RunState::NotRun;
    OwnAnswer {
        status: if not_run { 503 } else { 502 },
        code: refusal.code(),
        retry_after: not_run.then(|| refusal.retry_after()),
    }
}

/// The answer to a request whose time is over.
pub(crate) fn late(handed_over: bool) -> OwnAnswer {
    OwnAnswer {
        status: if handed_over { 504 } else { 503 },
        code: "deadline-passed",
        retry_after: (!handed_over).then_some(Duration::ZERO),
    }
}

/// The answer while no configuration is known.
pub(crate) fn unconfigured() -> OwnAnswer {
    OwnAnswer {
        status: 503,
        code: "no-configuration",
        retry_after: Some(Duration::from_millis(500)),
    }
}

/// An answer that refuses the request for what it is.
pub(crate) fn rejected(status: u16, code: &'static str) -> OwnAnswer {
    OwnAnswer {
        status,
        code,
        retry_after: None,
    }
}
