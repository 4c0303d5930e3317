//! What entries tell each other of their load at targets.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Time after which a peer's word no longer counts.
const STALE: Duration = Duration::from_secs(3);
/// Tokens of one unit in a word.
const UNIT: u32 = 64;

/// One entry's load at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Requests under way.
    #[serde(rename = "r")]
    pub requests: u32,
    /// Work still to be done, in units of 64 prompt tokens.
    #[serde(rename = "w")]
    pub work: u32,
    /// Context held, in units of 64 tokens.
    #[serde(rename = "m")]
    pub context: u32,
}

impl TargetLoad {
    /// Makes a load of tokens.
    #[must_use]
    pub fn of_tokens(requests: u32, work: u32, context: u32) -> Self {
        Self {
            requests,
            work: work.div_ceil(UNIT),
            context: context.div_ceil(UNIT),
        }
    }

    /// Work still to be done, in prompt tokens.
    #[must_use]
    pub fn work_tokens(self) -> u32 {
        self.work.saturating_mul(UNIT)
    }

    /// Context held, in tokens.
    #[must_use]
    pub fn context_tokens(self) -> u32 {
        self.context.saturating_mul(UNIT)
    }

    /// Adds another entry's load.
    pub(crate) fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.work += other.work;
        self.context += other.context;
    }

    /// What is left of a sum without one entry's load.
    fn less(self, own: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(own.requests),
            work: self.work.saturating_sub(own.work),
            context: self.context.saturating_sub(own.context),
        }
    }
}

/// The loads of all peers at all targets.
#[derive(Debug, Default)]
pub struct LoadTable {
    words: HashMap<Name, (Timestamp, Vec<(u32, TargetLoad)>)>,
}

impl LoadTable {
    /// Takes a peer's word, which replaces its earlier one.
    pub fn take(&mut self, now: Timestamp, peer: &Name, loads: Vec<(u32, TargetLoad)>) {
        self.words.insert(peer.clone(), (now, loads));
    }

    /// Takes the sum of all entries' loads, which replaces every word; `own` is this entry's part.
    pub fn take_sum(
        &mut self,
        now: Timestamp,
        from: &Name,
        mut sum: Vec<(u32, TargetLoad)>,
        own: &[(u32, TargetLoad)],
    ) {
        for (target, load) in &mut sum {
            if let Some((_, own)) = own.iter().find(|(key, _)| key == target) {
                *load = load.less(*own);
            }
        }
        self.words.clear();
        self.take(now, from, sum);
    }

    /// Forgets every word.
    pub fn clear(&mut self) {
        self.words.clear();
    }

    /// Forgets peers whose words are old; tells whether there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.words.len();
        self.words.retain(|_, (at, _)| now < *at + STALE);
        self.words.len() < before
    }

    /// Age of the oldest word that counts.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Duration {
        let ages = self.words.values().map(|(at, _)| now.saturating_sub(*at));
        ages.max().unwrap_or_default()
    }

    /// The peers' loads together, by target.
    #[must_use]
    pub fn sums(&self) -> HashMap<u32, TargetLoad> {
        let mut sums: HashMap<u32, TargetLoad> = HashMap::new();
        for (_, loads) in self.words.values() {
            for (target, load) in loads {
                sums.entry(*target).or_default().add(*load);
            }
        }
        sums
    }
}
