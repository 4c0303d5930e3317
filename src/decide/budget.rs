//! Budget of retries and hedges.

/// Tokens at the start.
const INITIAL: f64 = 2.0;
/// Tokens that hedges leave to retries, which a request needs to be answered at all.
const RESERVE: f64 = 2.0;

/// A token bucket filled by successes, so that retries stay a small share of the work.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    ratio: f64,
    cap: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Makes a budget that earns `ratio` tokens for each success and keeps `cap` at most.
    pub(super) fn new(ratio: f64, cap: f64) -> Self {
        Self {
            ratio,
            cap,
            tokens: INITIAL,
        }
    }

    /// Sets how many tokens are kept at most.
    pub(super) fn set_cap(&mut self, cap: f64) {
        self.cap = cap;
        self.tokens = self.tokens.min(cap);
    }

    /// Records a success.
    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.cap);
    }

    /// Takes one token beyond those reserved for retries; `false` when there is none.
    pub(super) fn take_spare(&mut self) -> bool {
        self.tokens >= RESERVE + 1.0 && self.take()
    }

    /// Takes one token; `false` when there is none.
    pub(super) fn take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
