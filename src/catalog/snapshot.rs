//! The catalog at one revision, and the application of notes to it.

use serde::{Deserialize, Serialize};

use crate::catalog::{Contradiction, Contradictions, DeclarationId, Declarations, ReleaseNote};

/// All declarations at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Revision; each applied note increments it.
    pub revision: u64,
    /// Declarations in force.
    #[serde(flatten)]
    pub declarations: Declarations,
}

impl Catalog {
    /// Returns the catalog that results from applying `note`.
    ///
    /// # Errors
    /// Every contradiction: a wrong base revision, an addition that exists, a change or withdrawal
    /// of something that does not, a reference to a policy that is not declared, a token hash of
    /// two customers.
    pub fn apply(&self, note: &ReleaseNote) -> Result<Self, Contradictions> {
        let mut errors = Vec::new();
        self.check_note(note, &mut errors);
        let mut next = self.clone();
        next.revision = note.revision();
        next.declarations.merge(&note.added);
        next.declarations.merge(&note.changed);
        for id in &note.withdrawn {
            next.declarations.remove(id);
        }
        next.check_policies(note, &mut errors);
        next.check_tokens(note, &mut errors);
        if errors.is_empty() {
            Ok(next)
        } else {
            Err(Contradictions(errors))
        }
    }

    fn check_note(&self, note: &ReleaseNote, errors: &mut Vec<Contradiction>) {
        if note.against != self.revision {
            let detail = format!(
                "the note was written against revision {}, expected {}, which is in force",
                note.against, self.revision
            );
            errors.push(Contradiction::new(&["revision"], detail));
        }
        for id in note.added.ids() {
            if self.declarations.contains(&id) {
                let detail = "already exists; expected it under `changed`";
                let path = ["added", &*id.kind, &*id.name];
                errors.push(Contradiction::new(&path, detail));
            }
        }
        for id in note.changed.ids() {
            if !self.declarations.contains(&id) {
                let detail = "does not exist; expected it under `added`";
                let path = ["changed", &*id.kind, &*id.name];
                errors.push(Contradiction::new(&path, detail));
            }
        }
        for id in &note.withdrawn {
            if !self.declarations.contains(id) {
                let detail = format!("does not exist; expected one of the {}", id.kind);
                let path = ["withdrawn", &*id.kind, &*id.name];
                errors.push(Contradiction::new(&path, detail));
            }
        }
    }

    fn check_policies(&self, note: &ReleaseNote, errors: &mut Vec<Contradiction>) {
        let models = self.declarations.models.iter();
        let services = self.declarations.services.iter();
        let references = models.map(|(name, m)| ("models", name, &m.policy)).chain(
            services
                .flat_map(|(name, s)| s.routes.iter().map(move |r| ("services", name, &r.policy))),
        );
        for (kind, name, policy) in references {
            if self.declarations.policies.contains_key(policy) {
                continue;
            }
            let user = DeclarationId {
                kind: kind.into(),
                name: name.clone(),
            };
            let contradiction = match note.part_of(&user) {
                Some(part) => Contradiction::new(
                    &[part, kind, name, "policy"],
                    format!("names the undeclared policy {policy}; expected a declared one"),
                ),
                None => Contradiction::new(
                    &["withdrawn", "policies", policy],
                    format!("still used by {kind} {name}; expected another policy there first"),
                ),
            };
            errors.push(contradiction);
        }
    }

    fn check_tokens(&self, note: &ReleaseNote, errors: &mut Vec<Contradiction>) {
        let mut owners = std::collections::HashMap::new();
        for (name, customer) in &self.declarations.customers {
            for token in &customer.tokens {
                let Some(other) = owners.insert(*token, name) else {
                    continue;
                };
                let pair = [name, other].map(|name| DeclarationId {
                    kind: "customers".into(),
                    name: name.clone(),
                });
                let declared = pair.iter().find_map(|c| Some((note.part_of(c)?, &c.name)));
                let (part, customer) = declared.unwrap_or(("added", name));
                let detail = if other == name {
                    "token hash given twice; expected it once".to_owned()
                } else {
                    format!("customers {other} and {name} share a token hash; expected a new one")
                };
                errors.push(Contradiction::new(
                    &[part, "customers", customer, "tokens"],
                    detail,
                ));
            }
        }
    }

    /// Returns a note with what was added, changed and withdrawn since `older`.
    #[must_use]
    pub fn difference(&self, older: &Self) -> ReleaseNote {
        let withdrawn: Vec<DeclarationId> = older
            .declarations
            .ids()
            .into_iter()
            .filter(|c| !self.declarations.contains(c))
            .collect();
        let mut added = self.declarations.clone();
        let mut changed = self.declarations.clone();
        for id in self.declarations.ids() {
            if older.declarations.contains(&id) {
                added.remove(&id);
            } else {
                changed.remove(&id);
            }
        }
        changed.remove_equal(&older.declarations);
        ReleaseNote {
            against: older.revision,
            added,
            changed,
            withdrawn,
            ..ReleaseNote::default()
        }
    }
}

impl Declarations {
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
