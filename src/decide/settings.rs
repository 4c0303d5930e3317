//! Settings of a desk.

use crate::prelude::*;

/// Settings of a [`Desk`](crate::decide::Desk).
#[derive(Clone, Debug)]
pub struct DeskSettings {
    /// Own failure domain.
    pub domain: Name,
    /// Seed of the desk's random choices.
    pub seed: u64,
    /// Attempts of one request at most, not counting those that were never sent.
    pub attempts: u32,
    /// Requests waiting for one model or service at most.
    pub queue: usize,
    /// Requests of one customer and class waiting for one model or service at most.
    pub customer_queue: usize,
    /// Retries and hedges allowed for each success.
    pub retry_ratio: f64,
    /// Time for which a request that took down two targets is refused.
    pub quarantine: Duration,
    /// Requests that a target without a load report is given at once.
    pub default_slots: u32,
    /// Retries and hedges that may come at once at all entries together, of which each entry takes
    /// its part, or at this one alone.
    pub retry_burst: RetryBurst,
    /// Whether slow requests are raced by a second attempt.
    pub hedges: bool,
    /// Whether a target that refused is asked for its load.
    pub ask_after_refusal: bool,
    /// How a target is chosen for a prompt.
    pub placement: Placement,
}

/// Retries that may come at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryBurst {
    /// At each entry.
    Each(f64),
    /// At all entries together.
    Together(f64),
}

impl RetryBurst {
    /// The part of one entry among `entries`.
    pub(crate) fn part(self, entries: u32) -> f64 {
        match self {
            Self::Each(burst) => burst,
            Self::Together(burst) => burst / f64::from(entries.max(1)),
        }
    }
}

/// How a target is chosen for a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The first in the order of the prompt's prefix that has a free slot.
    FirstWithRoom,
    /// The one that begins to generate first, by the work that waits there and the part of the
    /// prompt that it has to read.
    LeastWork,
}

impl DeskSettings {
    /// Makes settings with defaults for everything but the domain.
    #[must_use]
    pub fn new(domain: Name) -> Self {
        Self {
            domain,
            seed: 0,
            attempts: 3,
            queue: 4096,
            customer_queue: 256,
            retry_ratio: 0.08,
            quarantine: Duration::from_mins(10),
            default_slots: 32,
            retry_burst: RetryBurst::Each(10.0),
            hedges: true,
            ask_after_refusal: true,
            placement: Placement::FirstWithRoom,
        }
    }
}
