//! Settings of the state machine.

use crate::prelude::*;

/// Settings of a [`Scheduler`](crate::scheduler::Scheduler).
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Failure domain of this entry.
    pub domain: Name,
    /// Seed of the random generator.
    pub seed: u64,
    /// Most attempts of one request, not counting those of which nothing was sent.
    pub max_attempts: u32,
    /// Most requests queued in one lane, that is for one model or service and set of versions.
    pub max_queued: usize,
    /// Most of them from one customer in one priority class.
    pub max_queued_per_customer: usize,
    /// Retries and hedges that each success adds to the budget.
    pub retry_ratio: f64,
    /// Time for which a request that crashed two targets is refused.
    pub quarantine_time: Duration,
    /// Slots of a target whose load report names none.
    pub default_slots: u32,
    /// Most retries and hedges that the budget saves up.
    pub retry_burst: RetryBurst,
    /// Whether a request whose first token is late gets a second, concurrent attempt.
    pub hedging: bool,
    /// Whether a target that refused a request is probed for its load at once.
    pub probe_after_refusal: bool,
    /// How a target is chosen for a prompt.
    pub placement: Placement,
}

/// Capacity of the retry budget, in retries and hedges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryBurst {
    /// Capacity at each entry.
    PerEntry(f64),
    /// Capacity of all entries together, which they share evenly.
    Total(f64),
}

impl RetryBurst {
    /// Capacity of one entry among `entries`.
    pub(crate) fn entry_capacity(self, entries: u32) -> f64 {
        match self {
            Self::PerEntry(burst) => burst,
            Self::Total(burst) => burst / f64::from(entries.max(1)),
        }
    }
}

/// How a target is chosen for a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The first target with a free slot in the rendezvous order of the prompt's prefix.
    FirstWithRoom,
    /// The target that is expected to generate the first token first, by the work queued there and
    /// the part of the prompt that it has to read.
    LeastWork,
    /// The same over all targets, with the starts of prompts that each was sent lately: for the only
    /// scheduler of its targets, which knows them all.
    LeastWorkOfAll,
}

impl SchedulerSettings {
    /// Makes settings with defaults for everything but the failure domain.
    #[must_use]
    pub fn new(domain: Name) -> Self {
        Self {
            domain,
            seed: 0,
            max_attempts: 3,
            max_queued: 4096,
            max_queued_per_customer: 256,
            retry_ratio: 0.08,
            quarantine_time: Duration::from_mins(10),
            default_slots: 32,
            retry_burst: RetryBurst::PerEntry(10.0),
            hedging: true,
            probe_after_refusal: true,
            placement: Placement::FirstWithRoom,
        }
    }
}
