//! Registered targets, with a grace period after an outage of the platform store.

use std::collections::{BTreeMap, BTreeSet};

use crate::gateway::RegisteredTarget;
use crate::prelude::*;

/// Grace period in which targets whose registration expired during an outage of the platform store
/// may register again.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(1_900);
/// Time after the end of an outage in which a missing target gets the grace period, since its
/// registration may merely have expired.
const RECOVERY_PERIOD: Duration = Duration::from_secs(3);

/// A registered target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// Registration of the target.
    pub registration: RegisteredTarget,
    /// When the target is removed unless it registers again; set while it is missing.
    pub missing_until: Option<Timestamp>,
}

/// Registered targets by name. A target that is missing right after an outage of the platform store
/// is kept for a grace period; one that reports that it is leaving is marked at once.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    targets: BTreeMap<Name, TargetRecord>,
    /// End of the last outage of the platform store.
    recovered_at: Option<Timestamp>,
}

impl TargetTable {
    /// Records the end of an outage of the platform store.
    pub fn record_store_recovery(&mut self, now: Timestamp) {
        self.recovered_at = Some(now);
    }

    /// Updates the table with all registered targets.
    pub fn set_registered(&mut self, now: Timestamp, registered: Vec<RegisteredTarget>) {
        let present: BTreeSet<Name> = registered.iter().map(|t| t.info.name.clone()).collect();
        for registration in registered {
            let record = TargetRecord {
                registration,
                missing_until: None,
            };
            let name = record.registration.info.name.clone();
            self.targets.insert(name, record);
        }
        let recovering = self.is_recovering(now);
        for (name, record) in &mut self.targets {
            if !present.contains(name) && record.missing_until.is_none() {
                let grace = if recovering {
                    REREGISTRATION_GRACE
                } else {
                    Duration::ZERO
                };
                record.missing_until = Some(now + grace);
            }
        }
        self.expire(now);
    }

    /// Removes targets whose grace period has ended; returns whether there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.targets.len();
        let gone = |r: &TargetRecord| r.missing_until.is_some_and(|until| until <= now);
        self.targets.retain(|_, record| !gone(record));
        self.targets.len() < before
    }

    /// Registrations of all targets.
    pub fn iter(&self) -> impl Iterator<Item = &RegisteredTarget> {
        self.targets.values().map(|r| &r.registration)
    }

    /// Looks up a target's registration by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&RegisteredTarget> {
        self.targets.get(name).map(|r| &r.registration)
    }

    /// Whether the table has no targets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    fn is_recovering(&self, now: Timestamp) -> bool {
        self.recovered_at
            .is_some_and(|at| now < at + RECOVERY_PERIOD)
    }
}
