//! How many peers an entry asks for what it has missed.

use std::collections::VecDeque;

use crate::prelude::*;

/// Peers that are asked in [`PERIOD`].
const MAX_ASKED: usize = 3;
/// Time after which others may be asked: an entry that was cut off finds its peers again.
const PERIOD: Duration = Duration::from_secs(10);

/// Bounds the questions that an entry asks peers that it finds, when it has started or was cut off.
#[derive(Clone, Debug, Default)]
pub struct JoinQuestions {
    /// Times of the latest questions, oldest first.
    asked: VecDeque<Timestamp>,
}

impl JoinQuestions {
    /// Whether a peer that was found now is asked; counts it if so.
    pub fn permit(&mut self, now: Timestamp) -> bool {
        while self.asked.front().is_some_and(|at| now >= *at + PERIOD) {
            self.asked.pop_front();
        }
        let permitted = self.asked.len() < MAX_ASKED;
        if permitted {
            self.asked.push_back(now);
        }
        permitted
    }
}
