//! Registered targets, with a grace period after an outage of the platform store.

use std::collections::{BTreeMap, BTreeSet};

use crate::gateway::RegisteredTarget;
use crate::gateway::target_history::TargetHistory;
use crate::prelude::*;

/// Time after a restore of the platform store within which targets register again.
const RESTORE_GRACE: Duration = Duration::from_millis(1_900);

/// A registered target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// Registration of the target; it counts as leaving also when only the history says so.
    pub registration: RegisteredTarget,
    /// When the target is removed unless it registers again; set while it is missing.
    pub missing_until: Option<Timestamp>,
    /// Whether the registration itself says that the target is leaving.
    registered_leaving: bool,
}

/// Registered targets by name. A target that is missing right after an outage of the platform store
/// is kept for as long as its registration may merely have expired; one that reports that it is
/// leaving is marked at once.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    targets: BTreeMap<Name, TargetRecord>,
    /// Until when a missing registration may merely have expired in an outage of the platform store.
    doubt_until: Timestamp,
    history: TargetHistory,
}

impl TargetTable {
    /// Records the end of an outage of the platform store. Targets that are missing are kept until
    /// `doubt_until`, in which time they register again if they are alive.
    pub fn record_store_recovery(&mut self, doubt_until: Timestamp) {
        self.doubt_until = doubt_until;
    }

    /// Records that the platform store was restored from an older copy, before its first list is
    /// applied. Missing targets are kept for a grace period; targets that were leaving or gone stay so
    /// for `registration_lifetime`, in which a registration that is only in the copy expires.
    pub fn record_store_restore(&mut self, now: Timestamp, registration_lifetime: Duration) {
        self.record_store_recovery(now + RESTORE_GRACE);
        let leaving = self.targets.values().filter(|r| r.registered_leaving);
        let leaving = leaving.map(|r| (&r.registration.info.name, r.registration.started_ms));
        self.history
            .distrust_registrations(leaving, now + registration_lifetime);
    }

    /// Records that a target said in a response that it is leaving. This holds until the target
    /// starts anew, even if its registration is removed and comes back. Returns whether it is news.
    pub fn record_said_leaving(&mut self, name: &Name) -> bool {
        let record = self.targets.get_mut(name);
        let listed = record.as_ref().map(|r| r.registration.started_ms);
        let news = self.history.record_said_leaving(name, listed);
        if let Some(record) = record {
            record.registration.info.leaving = true;
        }
        news
    }

    /// Updates the table with all registered targets.
    pub fn set_registered(&mut self, now: Timestamp, registered: Vec<RegisteredTarget>) {
        let present: BTreeSet<Name> = registered.iter().map(|t| t.info.name.clone()).collect();
        for mut registration in registered {
            let registered_leaving = registration.info.leaving;
            registration.info.leaving |= self.history.is_leaving(now, &registration);
            self.history.record_registered(&registration.info.name);
            let record = TargetRecord {
                registration,
                missing_until: None,
                registered_leaving,
            };
            let name = record.registration.info.name.clone();
            self.targets.insert(name, record);
        }
        for (name, record) in &mut self.targets {
            if !present.contains(name) && record.missing_until.is_none() {
                record.missing_until = Some(self.doubt_until);
            }
        }
        self.expire(now);
    }

    /// Removes targets whose grace period has ended, and trusts registrations again that were
    /// distrusted after a restore; returns whether there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.targets.len();
        let gone = |r: &TargetRecord| r.missing_until.is_some_and(|until| until <= now);
        for record in self.targets.values().filter(|r| gone(r)) {
            self.history.record_removed(now, &record.registration);
        }
        self.targets.retain(|_, record| !gone(record));
        let removed = self.targets.len() < before;
        let trusted = self.history.expire(now);
        if trusted {
            for record in self.targets.values_mut() {
                let leaving = self.history.is_leaving(now, &record.registration);
                record.registration.info.leaving = record.registered_leaving || leaving;
            }
        }
        removed || trusted
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
}
