//! A connection to a target, with what it has carried.

use crate::gateway::response_meaning::ConnectionHistory;
use crate::gateway::target_stream::TargetStream;
use crate::prelude::*;

/// A connection to a target, with what it has carried.
pub(crate) struct TargetConnection {
    /// The connection.
    pub stream: TargetStream,
    /// Whether a request was sent on it.
    is_used: bool,
    /// IDs of the requests that were refused on it.
    refused: SmallVec<[Name; 1]>,
}

impl From<TargetStream> for TargetConnection {
    fn from(stream: TargetStream) -> Self {
        Self {
            stream,
            is_used: false,
            refused: SmallVec::new(),
        }
    }
}

impl TargetConnection {
    /// What the connection carried before the request with this ID.
    pub(crate) fn history(&self, request: &str) -> ConnectionHistory {
        if self.refused.iter().any(|id| **id == *request) {
            ConnectionHistory::RefusedBefore
        } else if self.is_used {
            ConnectionHistory::Kept
        } else {
            ConnectionHistory::New
        }
    }

    /// Records that a request was sent and answered.
    pub(crate) fn record_answered(&mut self) {
        self.is_used = true;
    }

    /// Records that a request was sent and refused.
    pub(crate) fn record_refused(&mut self, request: &Name) {
        self.is_used = true;
        self.refused.push(request.clone());
    }

    /// Number of requests that were refused on it.
    pub(crate) fn refused_count(&self) -> usize {
        self.refused.len()
    }
}
