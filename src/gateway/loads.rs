//! Load at targets that entries report to each other.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Time after which a peer's load report expires.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(3);
/// Tokens per unit of work or context in a load report.
const TOKENS_PER_UNIT: u32 = 64;

/// Load from one entry, or from several together, at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Number of running requests.
    #[serde(rename = "r")]
    pub requests: u32,
    /// Remaining work, in units of 64 prompt tokens.
    #[serde(rename = "w")]
    pub work: u32,
    /// Context in use, in units of 64 tokens.
    #[serde(rename = "m")]
    pub context: u32,
}

impl TargetLoad {
    /// Creates a load from work and context in tokens, which are rounded up to whole units.
    #[must_use]
    pub fn from_tokens(requests: u32, work: u32, context: u32) -> Self {
        Self {
            requests,
            work: work.div_ceil(TOKENS_PER_UNIT),
            context: context.div_ceil(TOKENS_PER_UNIT),
        }
    }

    /// Remaining work, in prompt tokens.
    #[must_use]
    pub fn work_tokens(self) -> u32 {
        self.work.saturating_mul(TOKENS_PER_UNIT)
    }

    /// Context in use, in tokens.
    #[must_use]
    pub fn context_tokens(self) -> u32 {
        self.context.saturating_mul(TOKENS_PER_UNIT)
    }

    /// Adds another load to this one.
    pub(crate) fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.work += other.work;
        self.context += other.context;
    }

    /// This sum without the load of one entry.
    fn minus(self, own: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(own.requests),
            work: self.work.saturating_sub(own.work),
            context: self.context.saturating_sub(own.context),
        }
    }
}

/// Load of all peers at all targets, which are identified by the hash of their name.
#[derive(Debug, Default)]
pub struct LoadTable {
    reports: HashMap<Name, (Timestamp, Vec<(u32, TargetLoad)>)>,
}

impl LoadTable {
    /// Records a peer's load report, which replaces its earlier one.
    pub fn record(&mut self, now: Timestamp, peer: &Name, loads: Vec<(u32, TargetLoad)>) {
        self.reports.insert(peer.clone(), (now, loads));
    }

    /// Records the sum of all entries' load, which replaces all reports. `own` is the part of the
    /// sum that comes from this entry, and is subtracted.
    pub fn record_sum(
        &mut self,
        now: Timestamp,
        from: &Name,
        mut sum: Vec<(u32, TargetLoad)>,
        own: &[(u32, TargetLoad)],
    ) {
        for (target, load) in &mut sum {
            if let Some((_, own)) = own.iter().find(|(key, _)| key == target) {
                *load = load.minus(*own);
            }
        }
        self.reports.clear();
        self.record(now, from, sum);
    }

    /// Removes all reports.
    pub fn clear(&mut self) {
        self.reports.clear();
    }

    /// Removes expired reports; returns whether there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.reports.len();
        self.reports
            .retain(|_, (at, _)| now < *at + LOAD_REPORT_TTL);
        self.reports.len() < before
    }

    /// Whether there are no reports.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Age of the oldest report; zero without any.
    #[must_use]
    pub fn max_age(&self, now: Timestamp) -> Duration {
        let ages = self.reports.values().map(|(at, _)| now.saturating_sub(*at));
        ages.max().unwrap_or_default()
    }

    /// Sums of the peers' load, by target.
    #[must_use]
    pub fn sums(&self) -> HashMap<u32, TargetLoad> {
        let mut sums: HashMap<u32, TargetLoad> = HashMap::new();
        for (_, loads) in self.reports.values() {
            for (target, load) in loads {
                sums.entry(*target).or_default().add(*load);
            }
        }
        sums
    }
}
