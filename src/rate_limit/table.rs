//! The limits that an entry knows.

use std::collections::HashMap;

use crate::clock::whole_millis;
use crate::prelude::*;
use crate::rate_limit::{LimitObservation, LimitReport, RequestRate, process_hash};

/// Time for which the limit of a target that is no longer listed is remembered, since its
/// registration may come back.
const UNLISTED_TIME: Duration = Duration::from_mins(2);
/// Time for which the end of a limit is remembered and reported.
const LIFTED_TIME: Duration = Duration::from_secs(30);

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

/// A limit that is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetLimit {
    /// Name of the target.
    pub target: Name,
    /// The limit.
    pub rate: RequestRate,
    /// When it was first known.
    pub since: Timestamp,
}

/// The limits of targets, by name; observations may arrive out of order
/// (see [`LimitObservation::is_replaced_by`]).
#[derive(Debug, Default)]
pub struct LimitTable {
    known: HashMap<Name, KnownLimit>,
    /// Start of the process of each listed target.
    listed: HashMap<Name, u64>,
    /// Names of the listed targets by [`process_hash`].
    by_hash: HashMap<u32, Name>,
}

impl LimitTable {
    /// Replaces the listed targets and the starts of their processes. Limits of former processes
    /// are forgotten, and after a time those of targets that are not listed.
    pub fn set_targets(&mut self, now: Timestamp, targets: impl IntoIterator<Item = (Name, u64)>) {
        self.listed = targets.into_iter().collect();
        let listed = &self.listed;
        let hashes = listed.iter();
        self.by_hash = hashes
            .map(|(name, started_ms)| (process_hash(name, *started_ms), name.clone()))
            .collect();
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
        if !old.is_replaced_by(&new) {
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

    /// Records a peer's report; returns the target and what changed, unless nothing did.
    pub fn merge(&mut self, now: Timestamp, report: &LimitReport) -> Option<(Name, LimitChange)> {
        let name = self.by_hash.get(&report.target)?.clone();
        let change = self.observe(&name, report.observation(now));
        if let Some(known) = self.known.get_mut(&name)
            && report.rate.is_some()
            && known.observation.rate.is_some()
        {
            known.since = known.since.min(report.since(now));
        }
        (change != LimitChange::None).then_some((name, change))
    }

    /// Reports on all limits, and on those that ended lately, for the peers.
    pub fn reports(&mut self, now: Timestamp) -> Vec<LimitReport> {
        self.known.retain(|_, known| {
            let observation = known.observation;
            observation.rate.is_some() || now < observation.received + LIFTED_TIME
        });
        let known = self.known.iter();
        known
            .map(|(name, known)| LimitReport {
                target: process_hash(name, known.started_ms),
                rate: known.observation.rate,
                sent_ms: whole_millis(now.saturating_sub(known.observation.sent)),
                received_ms: whole_millis(now.saturating_sub(known.observation.received)),
                since_ms: whole_millis(now.saturating_sub(known.since)),
            })
            .collect()
    }

    /// The limits that are in force.
    pub fn in_force(&self) -> impl Iterator<Item = TargetLimit> {
        self.known.iter().filter_map(|(name, known)| {
            Some(TargetLimit {
                target: name.clone(),
                rate: known.observation.rate?,
                since: known.since,
            })
        })
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
