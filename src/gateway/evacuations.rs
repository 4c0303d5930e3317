//! Evacuated failure domains as an entry knows them, and which changes of them it logs.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// A change of an evacuation that is logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The evacuation of a failure domain with so many targets came into force.
    Began(Name, usize),
    /// The evacuation of a failure domain with so many targets ended.
    Ended(Name, usize),
    /// An evacuation names a failure domain that has no targets, and is ignored.
    UnknownDomain(Name),
}

/// The evacuated failure domains.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    domains: BTreeSet<Name>,
    /// Those of them that had targets, as far as logged.
    in_force: BTreeSet<Name>,
    /// Those of them that never had targets, as far as logged.
    unknown: BTreeSet<Name>,
}

impl Evacuations {
    /// Replaces the evacuated failure domains.
    pub fn set(&mut self, domains: BTreeSet<Name>) {
        self.domains = domains;
    }

    /// Whether a failure domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// Number of evacuated failure domains with targets, as of the last call of
    /// [`Evacuations::changes`].
    #[must_use]
    pub fn count_in_force(&self) -> usize {
        self.in_force.len()
    }

    /// The changes since the last call, given the number of targets in each failure domain that has
    /// any. Each change is returned once.
    pub fn changes(&mut self, targets: &BTreeMap<Name, usize>) -> Vec<EvacuationChange> {
        let count = |domain: &Name| targets.get(domain).copied().unwrap_or_default();
        let mut changes = Vec::new();
        for domain in &self.domains {
            let targets = count(domain);
            if targets > 0 && self.in_force.insert(domain.clone()) {
                self.unknown.remove(domain);
                changes.push(EvacuationChange::Began(domain.clone(), targets));
            } else if !self.in_force.contains(domain) && self.unknown.insert(domain.clone()) {
                changes.push(EvacuationChange::UnknownDomain(domain.clone()));
            }
        }
        let ended: Vec<Name> = self.in_force.difference(&self.domains).cloned().collect();
        for domain in ended {
            self.in_force.remove(&domain);
            let targets = count(&domain);
            changes.push(EvacuationChange::Ended(domain, targets));
        }
        self.unknown.retain(|domain| self.domains.contains(domain));
        changes
    }
}
