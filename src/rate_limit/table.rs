//! The limits that an entry knows.

use std::collections::HashMap;

use crate::prelude::*;
use crate::rate_limit::{LimitObservation, RequestRate};

/// Time for which the limit of a target that is no longer listed is remembered, since its
/// registration may come back.
const UNLISTED_TIME: Duration = Duration::from_mins(2);

/// A target's newest limit.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    /// Start of the target's process, in milliseconds since the Unix epoch: a limit ends with the
    /// process that named it.
    started_ms: u64,
    observation: LimitObservation,
    /// When the limit was first known; later changes of its rate do not move it.
    since: Timestamp,
    /// Since when the target is not listed.
    unlisted_since: Option<Timestamp>,
}

/// How an observation changed what is known of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// Nothing new.
    None,
    /// The target has a limit where it had none, or another one.
    Named(RequestRate),
    /// The target has no limit any more.
    Lifted,
}

/// The limits of targets, by name. Observations arrive out of order: a stricter one counts unless it
/// is certainly older, a looser one only if it is certainly newer.
#[derive(Debug, Default)]
pub struct LimitTable {
    known: HashMap<Name, KnownLimit>,
    /// Start of the process of each listed target.
    listed: HashMap<Name, u64>,
}

impl LimitTable {
    /// Replaces the listed targets and the starts of their processes. Limits of former processes
    /// are forgotten, and after a time those of targets that are not listed.
    pub fn set_targets(&mut self, now: Timestamp, targets: impl IntoIterator<Item = (Name, u64)>) {
        self.listed = targets.into_iter().collect();
        let listed = &self.listed;
        self.known.retain(|name, known| match listed.get(name) {
            Some(started_ms) => {
                known.unlisted_since = None;
                if known.started_ms == 0 {
                    known.started_ms = *started_ms;
                }
                *started_ms == known.started_ms
            }
            None => now < *known.unlisted_since.get_or_insert(now) + UNLISTED_TIME,
        });
    }

    /// Records an observation of a target.
    pub fn observe(&mut self, target: &Name, new: LimitObservation) -> LimitChange {
        let Some(known) = self.known.get_mut(target) else {
            return self.add(target, new);
        };
        let old = known.observation;
        if old.rate == new.rate {
            known.observation.sent = old.sent.max(new.sent);
            known.observation.received = old.received.max(new.received);
            return LimitChange::None;
        }
        let is_outdated = old.is_after(&new);
        let counts = if new.is_stricter_than(&old) {
            !is_outdated
        } else {
            new.is_after(&old)
        };
        if !counts {
            return LimitChange::None;
        }
        known.observation = new;
        if old.rate.is_none() {
            known.since = new.received;
        }
        new.rate.map_or(LimitChange::Lifted, LimitChange::Named)
    }

    /// Records the first observation of a target; without a limit there is nothing to record.
    fn add(&mut self, target: &Name, observation: LimitObservation) -> LimitChange {
        let Some(rate) = observation.rate else {
            return LimitChange::None;
        };
        let known = KnownLimit {
            started_ms: self.listed.get(target).copied().unwrap_or_default(),
            observation,
            since: observation.received,
            unlisted_since: None,
        };
        self.known.insert(target.clone(), known);
        LimitChange::Named(rate)
    }

    /// The limit of a target, if it has one.
    #[must_use]
    pub fn rate(&self, target: &str) -> Option<RequestRate> {
        self.known.get(target)?.observation.rate
    }

    /// When the limit of a target was first known.
    #[must_use]
    pub fn since(&self, target: &str) -> Option<Timestamp> {
        let known = self.known.get(target)?;
        known.observation.rate.map(|_| known.since)
    }
}
