//! Budget for retries and hedges.

/// Tokens of a new budget.
const INITIAL_TOKENS: f64 = 2.0;
/// Tokens that hedges must leave: without a retry a request fails, without a hedge it is only late.
const RESERVED_FOR_RETRIES: f64 = 2.0;

/// A token bucket that successes fill, so that retries and hedges stay a small share of all
/// attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    ratio: f64,
    cap: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Makes a budget that earns `ratio` tokens for each success and holds at most `cap`.
    pub(super) fn new(ratio: f64, cap: f64) -> Self {
        Self {
            ratio,
            cap,
            tokens: INITIAL_TOKENS,
        }
    }

    /// Sets the most tokens that it holds.
    pub(super) fn set_cap(&mut self, cap: f64) {
        self.cap = cap;
        self.tokens = self.tokens.min(cap);
    }

    /// Adds the tokens of one success.
    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.cap);
    }

    /// Takes one token for a hedge; `false` when only those reserved for retries are left.
    pub(super) fn take_for_hedge(&mut self) -> bool {
        self.tokens >= RESERVED_FOR_RETRIES + 1.0 && self.take()
    }

    /// Takes one token for a retry; `false` when there is none.
    pub(super) fn take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
