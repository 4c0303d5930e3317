//! Limits as entries tell each other of them.

use serde::{Deserialize, Serialize};

use crate::clock::whole_millis;
use crate::name_hash::name_hash;
use crate::prelude::*;
use crate::rate_limit::{LimitObservation, RequestRate};

/// Allowance for the time that a report was on its way, by which its ages are too small.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(100);

/// Identifies a process of a target in messages between entries.
#[must_use]
pub fn process_hash(target: &str, started_ms: u64) -> u32 {
    name_hash(&format!("{target} {started_ms}"))
}

/// An entry's newest observation of a target's limit; its keys are short because it is sent often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// [`process_hash`] of the target.
    #[serde(rename = "t")]
    pub target: u32,
    /// The limit; `None` once the target has named none.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<RequestRate>,
    /// Time since the request was sent, in milliseconds.
    #[serde(rename = "s")]
    pub sent_ms: u64,
    /// Time since the response arrived, in milliseconds.
    #[serde(rename = "a")]
    pub received_ms: u64,
    /// Time since the limit was first known, in milliseconds.
    #[serde(rename = "f")]
    pub since_ms: u64,
}

impl LimitReport {
    /// The observation on the receiver's clock.
    #[must_use]
    pub fn observation(&self, now: Timestamp) -> LimitObservation {
        LimitObservation {
            rate: self.rate,
            sent: before(now, self.sent_ms).saturating_sub(TRANSIT_ALLOWANCE),
            received: before(now, self.received_ms),
        }
    }

    /// When the limit was first known, on the receiver's clock.
    #[must_use]
    pub fn since(&self, now: Timestamp) -> Timestamp {
        before(now, self.since_ms)
    }

    /// This report some time later.
    #[must_use]
    pub fn aged_by(self, time: Duration) -> Self {
        let ms = whole_millis(time);
        Self {
            sent_ms: self.sent_ms.saturating_add(ms),
            received_ms: self.received_ms.saturating_add(ms),
            since_ms: self.since_ms.saturating_add(ms),
            ..self
        }
    }

    /// Which of two reports about the same process counts.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        // Any moment after all of the observations.
        let now = Duration::from_millis(self.sent_ms.max(other.sent_ms)) + TRANSIT_ALLOWANCE;
        let (own, new) = (self.observation(now), other.observation(now));
        if own.rate == new.rate {
            return Self {
                sent_ms: self.sent_ms.min(other.sent_ms),
                received_ms: self.received_ms.min(other.received_ms),
                since_ms: self.since_ms.max(other.since_ms),
                ..self
            };
        }
        let mut merged = if own.is_replaced_by(&new) {
            other
        } else {
            self
        };
        if self.rate.is_some() && other.rate.is_some() {
            merged.since_ms = self.since_ms.max(other.since_ms);
        }
        merged
    }
}

fn before(now: Timestamp, ms: u64) -> Timestamp {
    now.saturating_sub(Duration::from_millis(ms))
}
