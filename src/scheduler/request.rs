//! State of one request, and the timers of the state machine.

use crate::http::RunState;
use crate::prefix_keys::{BlockKey, TOKENS_PER_BLOCK};
use crate::prelude::*;
use crate::scheduler::fleet::{AttemptSize, ContextNeed, PoolIx, TargetIx, mix};
use crate::scheduler::flow::QueueKey;
use crate::scheduler::machine::MIN_OVERLOAD_PAUSE;
use crate::scheduler::{Arrival, RequestId};

/// Work of one generated token, in prompt tokens: while a target generates it, it could read this
/// many prompt tokens of other requests.
const GENERATED_TOKEN_WORK: u32 = 8;
/// Upper bound of the work of one response, in prompt tokens. Generation runs alongside the reading
/// of other prompts and slows each step a little, however many tokens follow.
const MAX_GENERATION_WORK: u32 = 400;

/// Share of its latency objective that a request may wait; the target needs the rest.
const WAITING_SHARE: f64 = 0.5;

/// Share of its time after which a request that has missed its objective in the queue is refused:
/// its caller can come back in the rest.
const GIVE_UP_SHARE: f64 = 0.5;

/// Share of the time that callers have left up to which they wait before they come back.
const RETURN_SHARE: f64 = 1.0 / 3.0;

/// A running attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// Number within its request, from one.
    pub(super) number: u32,
    /// Target that runs it.
    pub(super) target: TargetIx,
    /// Time of its dispatch.
    pub(super) started_at: Timestamp,
    /// Whether its response began.
    pub(super) first_token_received: bool,
    /// Whether the request was suspected of crashing targets when the attempt began.
    pub(super) suspected: bool,
    /// Work queued at the target at its dispatch, its own included, in prompt tokens.
    pub(super) queued_work: u32,
    /// Work and context counted as load of the target.
    pub(super) size: AttemptSize,
}

/// Stage of a request that is neither refused nor finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// In the queue of a lane: index of the lane in its pool, and position in the queue of its
    /// customer.
    Queued(usize, QueueKey),
    /// Not queued: being placed, or waiting for the retry timer that puts it back.
    Delayed,
    /// Dispatched to a target.
    Running,
}

/// A request that is queued, delayed or running.
#[derive(Debug)]
pub(super) struct Request {
    /// The request as it arrived.
    pub(super) arrival: Arrival,
    /// Time of its arrival.
    pub(super) arrived: Timestamp,
    /// Deadline of its first token.
    pub(super) deadline: Timestamp,
    /// Pool of the targets that serve its model or service.
    pub(super) pool: PoolIx,
    /// Time at which its wait was predicted, and the prediction in seconds; cleared when it leaves
    /// the queue.
    pub(super) predicted_wait: Option<(Timestamp, f64)>,
    /// Time at which it is refused if it still waits.
    pub(super) expires_at: Option<Timestamp>,
    /// Queued, delayed or running.
    pub(super) stage: Stage,
    /// Running attempts.
    pub(super) attempts: SmallVec<[Attempt; 2]>,
    /// Attempts started so far; the number of the last one.
    pub(super) attempts_started: u32,
    /// Attempts that ended before a byte was sent.
    pub(super) attempts_unsent: u32,
    /// Attempts that a target refused, with proof that it did not run them.
    pub(super) attempts_refused: u32,
    /// Whether the first token of any attempt was received.
    pub(super) first_token_received: bool,
    /// Whether a target has run it, as far as known.
    pub(super) run_state: RunState,
    /// Targets that placement avoids: those that failed it, or run it while it is hedged.
    pub(super) tried: SmallVec<[TargetIx; 2]>,
}

impl Request {
    /// Makes the state of a request that has just arrived.
    pub(super) fn new(now: Timestamp, arrival: Arrival, pool: PoolIx) -> Self {
        Self {
            deadline: now + arrival.policy.first_token(),
            arrived: now,
            arrival,
            pool,
            predicted_wait: None,
            expires_at: None,
            stage: Stage::Delayed,
            attempts: SmallVec::new(),
            attempts_started: 0,
            attempts_unsent: 0,
            attempts_refused: 0,
            first_token_received: false,
            run_state: RunState::NotRun,
            tried: SmallVec::new(),
        }
    }

    /// Position in its customer's queue: by the time until which it should be dispatched.
    pub(super) fn queue_key(&self) -> QueueKey {
        (self.dispatch_by(), self.arrival.id)
    }

    /// When a request with an objective that has not been dispatched yet is refused, if its caller
    /// has time to come back after that.
    pub(super) fn give_up_at(&self) -> Option<Timestamp> {
        if self.arrival.objective.is_zero() || self.attempts_started > 0 {
            return None;
        }
        let time = self.deadline.saturating_sub(self.arrived);
        let waited = time.mul_f64(GIVE_UP_SHARE);
        let left = self.arrival.policy.total().saturating_sub(waited);
        if left.mul_f64(RETURN_SHARE) < MIN_OVERLOAD_PAUSE {
            return None;
        }
        Some((self.arrived + waited).max(self.dispatch_by()))
    }

    /// Time until which it should be dispatched to meet its latency objective, or else its deadline.
    pub(super) fn dispatch_by(&self) -> Timestamp {
        if self.arrival.objective.is_zero() {
            return self.deadline;
        }
        self.arrived + self.arrival.objective.mul_f64(WAITING_SHARE)
    }

    /// Cost in fair queueing, in prompt blocks; each request costs four on top of its prompt.
    pub(super) fn cost(&self) -> u32 {
        4 + self.arrival.prompt_tokens / TOKENS_PER_BLOCK
    }

    /// Whether the prompt fills at least one block, so that a target can have its prefix cached.
    pub(super) fn has_prefix(&self) -> bool {
        self.arrival.prompt_tokens >= TOKENS_PER_BLOCK
    }

    /// Size of an attempt at a target that has to read `read` tokens of the prompt.
    pub(super) fn size(&self, read: u32) -> AttemptSize {
        AttemptSize {
            work: read.saturating_add(self.generation()),
            context: self.context_need().tokens,
            shared: None,
        }
    }

    /// Context that it needs at its target.
    pub(super) fn context_need(&self) -> ContextNeed {
        let arrival = &self.arrival;
        ContextNeed {
            request: arrival.id,
            tokens: arrival.prompt_tokens.saturating_add(arrival.output_tokens),
            key: key_hash(&arrival.affinity),
            shared_tokens: arrival.shared_tokens,
        }
    }

    /// Work of generating the response, in prompt tokens.
    pub(super) fn generation(&self) -> u32 {
        let all = self
            .arrival
            .output_tokens
            .saturating_mul(GENERATED_TOKEN_WORK);
        all.min(MAX_GENERATION_WORK)
    }

    /// Finds an attempt by its number.
    pub(super) fn attempt(&self, number: u32) -> Option<Attempt> {
        self.attempts.iter().copied().find(|a| a.number == number)
    }
}

/// Placement hash of a key: its first eight bytes, mixed.
pub(super) fn key_hash(key: &BlockKey) -> u64 {
    mix(key.placement_hash())
}

/// An action scheduled for a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Refuses a request that has missed its latency objective if it has no prospect any more.
    Overdue(RequestId),
    /// Refuses a request that still waits, since it can no longer meet its deadline.
    Expire(RequestId),
    /// Puts a delayed request back into its queue.
    Retry(RequestId),
    /// Hedges a request whose first token has not come yet.
    Hedge(RequestId),
    /// Probes an unreachable target again, or counts an unanswered probe as failed.
    Probe(TargetIx),
    /// Probes a target that left a request unanswered.
    Check(TargetIx),
    /// Recomputes whether a target has room.
    Refresh(TargetIx),
    /// Goes on dispatching from the queues of a pool, since each call dispatches a limited number.
    Serve(PoolIx),
}
