//! What a response on a target's connection proves about a request that was sent on it.

use crate::gateway::ResponseInfo;

/// What a connection carried before a request was sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionHistory {
    /// Nothing, so that the first response belongs to the request.
    New,
    /// Other requests, to which additional or late responses may belong.
    Kept,
    /// Other requests, and this one, which was refused: the refusal may arrive once more.
    RefusedBefore,
}

impl ConnectionHistory {
    /// Label for the log.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Kept => "kept",
            Self::RefusedBefore => "refused-before",
        }
    }
}

/// What a response means for the request that was sent last on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMeaning {
    /// It is the response to the request.
    Answer,
    /// The request has not run and never will.
    NotRun,
    /// The request was likely refused, but may run: nothing shows that the response is its own.
    PerhapsNotRun,
    /// It is the response to a request that must not run twice, and its status says that the
    /// request has not run; nothing proves that.
    UnprovenRefusal,
    /// It belongs to another request or to none.
    Foreign,
}

/// A request whose response is expected on a connection.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedResponse<'a> {
    /// ID of the request.
    pub request: &'a str,
    /// Whether the request may run at most once.
    pub run_once: bool,
    /// What the connection carried before.
    pub connection: ConnectionHistory,
}

impl ExpectedResponse<'_> {
    /// What a final response with this status and these headers means.
    #[must_use]
    pub fn meaning(&self, status: u16, info: &ResponseInfo) -> ResponseMeaning {
        match &info.request {
            Some(id) if **id != *self.request => ResponseMeaning::Foreign,
            Some(_) => self.meaning_of_named(info),
            None => self.meaning_of_unnamed(status, info),
        }
    }

    /// Meaning of a response that bears the request's ID.
    fn meaning_of_named(&self, info: &ResponseInfo) -> ResponseMeaning {
        if !info.run.is_not_run() {
            return self.meaning_of_own(info);
        }
        // The refusal may be a copy of the earlier one.
        if self.connection == ConnectionHistory::RefusedBefore {
            return self.meaning_of_doubtful_refusal();
        }
        ResponseMeaning::NotRun
    }

    /// Meaning of a response without an ID. A success must have one, a refusal may lack it.
    fn meaning_of_unnamed(&self, status: u16, info: &ResponseInfo) -> ResponseMeaning {
        let is_first = self.connection == ConnectionHistory::New;
        match (info.run.is_not_run(), is_first) {
            (true, true) => ResponseMeaning::NotRun,
            (true, false) => self.meaning_of_doubtful_refusal(),
            (false, true) if !(200..300).contains(&status) => self.meaning_of_own(info),
            (false, _) => ResponseMeaning::Foreign,
        }
    }

    /// Meaning of a refusal that may belong to another request. One that may run twice is sent
    /// again; for any other, its own response may follow.
    fn meaning_of_doubtful_refusal(&self) -> ResponseMeaning {
        if self.run_once {
            ResponseMeaning::Foreign
        } else {
            ResponseMeaning::PerhapsNotRun
        }
    }

    /// Meaning of the request's own response that does not state that it has not run.
    fn meaning_of_own(&self, info: &ResponseInfo) -> ResponseMeaning {
        if info.implies_not_run && self.run_once {
            ResponseMeaning::UnprovenRefusal
        } else {
            ResponseMeaning::Answer
        }
    }
}
