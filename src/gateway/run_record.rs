//! What an entry knows of a request's runs, and which final outcome follows when no target's response
//! does.

use crate::gateway::LocalResponse;
use crate::gateway::refusal::{deadline_passed, refused, unknown_fate};
use crate::scheduler::Refusal;

/// Why a request ends without the response of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending<'a> {
    /// It was refused while no attempt was running.
    Refused(&'a Refusal),
    /// Its deadline passed, whether or not an attempt was running.
    DeadlinePassed,
}

/// Final outcome of a request that ends without the response of its last target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndingOutcome {
    /// A stream whose head was sent breaks off.
    CutShort,
    /// The error response of an earlier target is relayed.
    TargetError,
    /// The gateway responds itself.
    LocalResponse(LocalResponse),
}

/// What the caller has received and what an earlier target has responded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseState {
    /// Whether the head of a streamed response was sent.
    pub head_sent: bool,
    /// Whether an error response of a target is kept.
    pub has_target_error: bool,
}

/// Whether any target may run or have run a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunRecord {
    may_have_run: bool,
}

impl RunRecord {
    /// Whether another attempt may begin: the request is `repeatable`, or no target may run or have run
    /// it.
    #[must_use]
    pub fn permits_attempt(self, repeatable: bool) -> bool {
        repeatable || !self.may_have_run
    }

    /// Records that an attempt begins, of which anything may be sent from now on; returns the record
    /// before it.
    #[must_use]
    pub fn begin_attempt(&mut self) -> Self {
        std::mem::replace(self, Self { may_have_run: true })
    }

    /// Records the end of an attempt that is proven not to have run the request, given the record
    /// before it.
    pub fn end_not_run(&mut self, before: Self) {
        *self = before;
    }

    /// Whether any target may run or have run the request.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        self.may_have_run
    }

    /// The final outcome of a request that ends like this.
    #[must_use]
    pub fn outcome(self, ending: &Ending<'_>, response: ResponseState) -> EndingOutcome {
        if response.head_sent {
            return EndingOutcome::CutShort;
        }
        let local_response = match ending {
            Ending::DeadlinePassed => deadline_passed(self.may_have_run),
            Ending::Refused(_) if response.has_target_error => return EndingOutcome::TargetError,
            // The scheduler may not know of an attempt that it did not dispatch itself.
            Ending::Refused(_) if self.may_have_run => unknown_fate(),
            Ending::Refused(refusal) => refused(refusal),
        };
        EndingOutcome::LocalResponse(local_response)
    }
}
