//! What is remembered of targets beyond their registrations: who said that it is leaving, and who
//! was removed.

use std::collections::HashMap;

use crate::gateway::RegisteredTarget;
use crate::prelude::*;

/// Time for which a removed target is remembered; older than any copy from which the platform store
/// is restored.
const REMOVED_TIME: Duration = Duration::from_mins(2);

/// Start of a target's process, in milliseconds since the Unix epoch; zero when unknown. It tells
/// two processes with the same name apart.
type StartedMs = u64;

/// A target that was removed.
#[derive(Clone, Copy, Debug)]
struct RemovedTarget {
    started_ms: StartedMs,
    at: Timestamp,
}

/// A registration that may be in the platform store only because the store was restored.
#[derive(Clone, Copy, Debug)]
struct DistrustedRegistration {
    started_ms: StartedMs,
    until: Timestamp,
}

/// Memory of targets, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetHistory {
    /// Targets that said that they are leaving, as long as this process runs.
    said_leaving: HashMap<Name, StartedMs>,
    removed: HashMap<Name, RemovedTarget>,
    distrusted: HashMap<Name, DistrustedRegistration>,
}

impl TargetHistory {
    /// Records that a target said that it is leaving; `listed` is its start if it is registered.
    /// Returns whether it is news.
    pub(crate) fn record_said_leaving(&mut self, name: &Name, listed: Option<StartedMs>) -> bool {
        let removed = self.removed.get(name).map(|r| r.started_ms);
        let started_ms = listed.or(removed).unwrap_or_default();
        self.said_leaving.insert(name.clone(), started_ms) != Some(started_ms)
    }

    /// Records that a target was removed.
    pub(crate) fn record_removed(&mut self, now: Timestamp, registration: &RegisteredTarget) {
        let started_ms = registration.started_ms;
        let removed = RemovedTarget {
            started_ms,
            at: now,
        };
        self.removed.insert(registration.info.name.clone(), removed);
    }

    /// Records that a target is registered, also if it was removed before.
    pub(crate) fn record_registered(&mut self, name: &str) {
        self.removed.remove(name);
    }

    /// Distrusts the registrations of targets that are leaving, and of those removed lately, until
    /// a time.
    pub(crate) fn distrust_registrations<'a>(
        &mut self,
        leaving: impl Iterator<Item = (&'a Name, StartedMs)>,
        until: Timestamp,
    ) {
        let removed = self.removed.iter();
        let mut untrusted: Vec<(Name, StartedMs)> = removed
            .map(|(name, r)| (name.clone(), r.started_ms))
            .collect();
        untrusted.extend(leaving.map(|(name, started_ms)| (name.clone(), started_ms)));
        let distrusted = untrusted.into_iter().map(|(name, started_ms)| {
            let registration = DistrustedRegistration { started_ms, until };
            (name, registration)
        });
        self.distrusted.extend(distrusted);
    }

    /// Whether a registered target counts as leaving, whatever its registration says.
    pub(crate) fn is_leaving(&self, now: Timestamp, registration: &RegisteredTarget) -> bool {
        let name = &registration.info.name;
        let started_ms = registration.started_ms;
        let said = self.said_leaving.get(name) == Some(&started_ms);
        let distrusted = self.distrusted.get(name);
        said || distrusted.is_some_and(|d| d.started_ms == started_ms && now < d.until)
    }

    /// Forgets what is too old; returns whether a registration is trusted again.
    pub(crate) fn expire(&mut self, now: Timestamp) -> bool {
        self.removed.retain(|_, r| now < r.at + REMOVED_TIME);
        let before = self.distrusted.len();
        self.distrusted.retain(|_, d| now < d.until);
        self.distrusted.len() < before
    }
}
