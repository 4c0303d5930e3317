//! State of one request.

use crate::decide::fleet::{PoolIx, Size, TargetIx, mix};
use crate::decide::flow::QueueKey;
use crate::decide::{Arrival, RequestId};
use crate::http::RunState;
use crate::prefix_keys::{BlockKey, TOKENS_PER_BLOCK};
use crate::prelude::*;

/// Prompt tokens that are read in the time that one generated token takes from the others.
const GENERATION: u32 = 8;
/// The most that a generation counts for: it delays the reading of other prompts by what it adds to
/// their steps, however long it goes on.
const MOST_GENERATION: u32 = 400;

/// One attempt under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// Number, from one.
    pub(super) number: u32,
    /// Target.
    pub(super) target: TargetIx,
    /// Time of the dispatch.
    pub(super) at: Timestamp,
    /// Whether its answer began.
    pub(super) answered: bool,
    /// Whether the request was suspected when the attempt began.
    pub(super) suspected: bool,
    /// Work and context counted at the target.
    pub(super) size: Size,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Place {
    /// In the queue of its lane.
    Queued(usize, QueueKey),
    /// Out of the queue until a timer or the end of another run brings it back.
    Held,
    /// At a target.
    Running,
}

/// State of one request.
#[derive(Debug)]
pub(super) struct Request {
    /// As it arrived.
    pub(super) arrival: Arrival,
    /// Time of its arrival.
    pub(super) arrived: Timestamp,
    /// Latest time of the first token.
    pub(super) deadline: Timestamp,
    /// Targets of its model or service.
    pub(super) pool: PoolIx,
    /// Time of queueing and the wait predicted then, in seconds.
    pub(super) foretold: Option<(Timestamp, f64)>,
    /// Time at which it is given up while it waits.
    pub(super) expires: Option<Timestamp>,
    /// Where it is.
    pub(super) place: Place,
    /// Attempts under way.
    pub(super) attempts: SmallVec<[Attempt; 2]>,
    /// Number of the last attempt.
    pub(super) started: u32,
    /// Attempts that ended without being sent.
    pub(super) unsent: u32,
    /// Attempts whose target proved that it did not run them.
    pub(super) refused: u32,
    /// Whether the first token was received.
    pub(super) answered: bool,
    /// Whether a target may have run it.
    pub(super) run: RunState,
    /// Targets that failed it.
    pub(super) tried: SmallVec<[TargetIx; 2]>,
}

impl Request {
    /// Makes the state of an arrival.
    pub(super) fn new(now: Timestamp, arrival: Arrival, pool: PoolIx) -> Self {
        Self {
            deadline: now + arrival.policy.first_token(),
            arrived: now,
            arrival,
            pool,
            foretold: None,
            expires: None,
            place: Place::Held,
            attempts: SmallVec::new(),
            started: 0,
            unsent: 0,
            refused: 0,
            answered: false,
            run: RunState::NotRun,
            tried: SmallVec::new(),
        }
    }

    /// Place in its customer's queue.
    pub(super) fn queue_key(&self) -> QueueKey {
        (self.deadline, self.arrival.id)
    }

    /// Cost in the fair sharing of targets, in blocks.
    pub(super) fn cost(&self) -> u32 {
        4 + self.arrival.tokens / TOKENS_PER_BLOCK
    }

    /// Whether the prompt has whole blocks.
    pub(super) fn has_prefix(&self) -> bool {
        self.arrival.tokens >= TOKENS_PER_BLOCK
    }

    /// Size of an attempt whose target has to read `read` tokens of the prompt.
    pub(super) fn size(&self, read: u32) -> Size {
        Size {
            work: read.saturating_add(self.generation()),
            context: self
                .arrival
                .tokens
                .saturating_add(self.arrival.output_tokens),
        }
    }

    /// Work of generating the answer, in prompt tokens.
    pub(super) fn generation(&self) -> u32 {
        let all = self.arrival.output_tokens.saturating_mul(GENERATION);
        all.min(MOST_GENERATION)
    }

    /// Finds an attempt by its number.
    pub(super) fn attempt(&self, number: u32) -> Option<Attempt> {
        self.attempts.iter().copied().find(|a| a.number == number)
    }
}

/// First word of a key, mixed.
pub(super) fn word(key: &BlockKey) -> u64 {
    let first = key.as_bytes().first_chunk::<8>().copied();
    mix(u64::from_le_bytes(first.unwrap_or_default()))
}

/// Something that is due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A waiting request's deadline.
    Expire(RequestId),
    /// A held request may be tried again.
    Retry(RequestId),
    /// A running request may be hedged.
    Hedge(RequestId),
    /// A target is probed, or its probe is overdue.
    Probe(TargetIx),
    /// A target that gave no answer is probed.
    Doubt(TargetIx),
    /// A target's room is computed anew.
    Refresh(TargetIx),
    /// A queue has more requests for targets with room.
    Serve(PoolIx),
}
