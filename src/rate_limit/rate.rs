//! Rates of requests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Thousandths in one.
const THOUSANDTHS: f64 = 1_000.0;

/// A rate of requests, in thousandths of a request per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestRate(u32);

/// A text is no rate: it is not a decimal number, or negative or infinite.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateError;

impl fmt::Display for RateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a decimal number of requests per second")
    }
}

impl std::error::Error for RateError {}

impl RequestRate {
    /// Makes a rate from thousandths of a request per second.
    #[must_use]
    pub fn from_thousandths(thousandths: u32) -> Self {
        Self(thousandths)
    }

    /// Makes a rate from requests per second, rounded down; a negative or undefined number counts as
    /// zero, and one that is too large to be stored becomes the largest.
    #[must_use]
    pub fn from_per_second(rate: f64) -> Self {
        // Without the addition, 2.3 would become 2.299.
        Self(truncated(rate * THOUSANDTHS + 1e-6))
    }

    /// Requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / THOUSANDTHS
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    /// Parses digits with at most one decimal point; the rate is rounded down, and one that is too
    /// large to be stored becomes the largest.
    fn from_str(text: &str) -> Result<Self, RateError> {
        let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let value: f64 = text.parse().map_err(|_| RateError)?;
        if !is_decimal || !value.is_finite() {
            return Err(RateError);
        }
        Ok(Self::from_per_second(value))
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn truncated(value: f64) -> u32 {
    value as u32
}
