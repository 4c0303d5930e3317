//! The catalog in force.

use serde::{Deserialize, Serialize};

use crate::catalog::{Change, ReleaseNote, Section};

/// All declarations at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Revision; it only grows.
    pub revision: u64,
    /// Declarations in force.
    #[serde(flatten)]
    pub section: Section,
}

impl Catalog {
    /// Makes the catalog that results from `note`.
    ///
    /// # Errors
    /// One line for each contradiction: a wrong base revision, an addition that exists, a change or
    /// withdrawal of something that does not, a reference to a policy that is not declared.
    pub fn apply(&self, note: &ReleaseNote) -> Result<Self, Vec<String>> {
        let mut errors = Vec::new();
        if note.against != self.revision {
            errors.push(format!(
                "the note was written against revision {}, in force is {}",
                note.against, self.revision
            ));
        }
        for change in note.added.names() {
            if self.section.contains(&change) {
                errors.push(format!("{} {} already exists", change.kind, change.name));
            }
        }
        for change in note.changed.names().iter().chain(&note.withdrawn) {
            if !self.section.contains(change) {
                errors.push(format!("{} {} does not exist", change.kind, change.name));
            }
        }
        let mut next = self.clone();
        next.revision = note.revision();
        next.section.merge(&note.added);
        next.section.merge(&note.changed);
        for change in &note.withdrawn {
            next.section.remove(change);
        }
        next.check_references(&mut errors);
        if errors.is_empty() {
            Ok(next)
        } else {
            Err(errors)
        }
    }

    fn check_references(&self, errors: &mut Vec<String>) {
        let models = self.section.models.iter();
        let services = self.section.services.iter();
        let uses = models.map(|(name, m)| ("models", name, &m.policy)).chain(
            services
                .flat_map(|(name, s)| s.routes.iter().map(move |r| ("services", name, &r.policy))),
        );
        for (kind, name, policy) in uses {
            if !self.section.policies.contains_key(policy) {
                errors.push(format!(
                    "{kind} {name} names the undeclared policy {policy}"
                ));
            }
        }
        self.check_tokens(errors);
    }

    fn check_tokens(&self, errors: &mut Vec<String>) {
        let mut owners = std::collections::HashMap::new();
        for (name, customer) in &self.section.customers {
            for token in &customer.tokens {
                if let Some(other) = owners.insert(*token, name) {
                    errors.push(format!("customers {other} and {name} share a token hash"));
                }
            }
        }
    }

    /// Lists what differs from `older`: added, changed, withdrawn.
    #[must_use]
    pub fn difference(&self, older: &Self) -> ReleaseNote {
        let withdrawn: Vec<Change> = older
            .section
            .names()
            .into_iter()
            .filter(|c| !self.section.contains(c))
            .collect();
        let mut added = self.section.clone();
        let mut changed = self.section.clone();
        for change in self.section.names() {
            if older.section.contains(&change) {
                added.remove(&change);
            } else {
                changed.remove(&change);
            }
        }
        changed.remove_equal(&older.section);
        ReleaseNote {
            against: older.revision,
            added,
            changed,
            withdrawn,
            ..ReleaseNote::default()
        }
    }
}

impl Section {
    fn remove_equal(&mut self, other: &Self) {
        self.customers
            .retain(|k, v| other.customers.get(k) != Some(v));
        self.models.retain(|k, v| other.models.get(k) != Some(v));
        self.policies
            .retain(|k, v| other.policies.get(k) != Some(v));
        self.services
            .retain(|k, v| other.services.get(k) != Some(v));
        self.trust.retain(|k, v| other.trust.get(k) != Some(v));
    }
}
