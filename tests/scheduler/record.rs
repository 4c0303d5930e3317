//! What a caller of a simulated request sees.

use guavahold::prelude::*;
use guavahold::scheduler::{Arrival, Refusal};

/// End of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Done,
    Refused(Refusal),
}

/// Course of one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub arrival: Arrival,
    pub arrived: Timestamp,
    pub first_token: Option<Timestamp>,
    pub attempts: u32,
    pub end: Option<(Timestamp, Outcome)>,
}

impl RequestRecord {
    /// Whether the first token came before its deadline and the response was complete.
    pub fn is_in_time(&self) -> bool {
        let in_time = |at: Timestamp| at <= self.arrived + self.arrival.policy.first_token();
        matches!(self.end, Some((_, Outcome::Done))) && self.first_token.is_some_and(in_time)
    }

    /// Whether the response was complete, but its first token came after its deadline.
    pub fn is_late(&self) -> bool {
        matches!(self.end, Some((_, Outcome::Done))) && !self.is_in_time()
    }

    pub fn refusal(&self) -> Option<&Refusal> {
        match &self.end {
            Some((_, Outcome::Refused(refusal))) => Some(refusal),
            _ => None,
        }
    }
}
