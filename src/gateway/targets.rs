//! The targets in use, by the store's list and what became of it.

use std::collections::{BTreeMap, BTreeSet};

use crate::gateway::ListedTarget;
use crate::prelude::*;

/// Time within which targets whose entries lapsed while the store was away register again.
const RETURN_TIME: Duration = Duration::from_millis(1_900);
/// Time after the store's return within which a missing target may have lapsed only.
const AFTER_OUTAGE: Duration = Duration::from_secs(3);

/// A target in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// As it registered itself.
    pub listed: ListedTarget,
    /// When it is dropped unless it registers again; set while it is missing after an outage.
    pub missing_until: Option<Timestamp>,
}

/// Targets by name. A target that is missing right after the store was away is kept until it had
/// time to register again; one that says it leaves is leaving at once.
#[derive(Clone, Debug, Default)]
pub struct TargetBook {
    targets: BTreeMap<Name, TargetRecord>,
    returned: Option<Timestamp>,
}

impl TargetBook {
    /// Takes note that the store answers again after it was away.
    pub fn store_returned(&mut self, now: Timestamp) {
        self.returned = Some(now);
    }

    /// Takes the registered targets, whole.
    pub fn take(&mut self, now: Timestamp, listed: Vec<ListedTarget>) {
        let present: BTreeSet<Name> = listed.iter().map(|t| t.info.name.clone()).collect();
        for listed in listed {
            let record = TargetRecord {
                listed,
                missing_until: None,
            };
            let name = record.listed.info.name.clone();
            self.targets.insert(name, record);
        }
        let patient = self.is_after_outage(now);
        for (name, record) in &mut self.targets {
            if !present.contains(name) && record.missing_until.is_none() {
                let grace = if patient { RETURN_TIME } else { Duration::ZERO };
                record.missing_until = Some(now + grace);
            }
        }
        self.expire(now);
    }

    /// Drops targets that did not register again; tells whether there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.targets.len();
        let gone = |r: &TargetRecord| r.missing_until.is_some_and(|until| until <= now);
        self.targets.retain(|_, record| !gone(record));
        self.targets.len() < before
    }

    /// All targets in use.
    pub fn iter(&self) -> impl Iterator<Item = &ListedTarget> {
        self.targets.values().map(|r| &r.listed)
    }

    /// A target in use.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&ListedTarget> {
        self.targets.get(name).map(|r| &r.listed)
    }

    /// Whether none is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    fn is_after_outage(&self, now: Timestamp) -> bool {
        self.returned.is_some_and(|at| now < at + AFTER_OUTAGE)
    }
}
