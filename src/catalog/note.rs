//! Release notes: what operators add, change and withdraw.

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, Change, Customer, Model, Policy, Section, Service, Trust};
use crate::prelude::*;
use crate::settings::{Document, Fields, Findings};

/// A release note written against one revision of the catalog.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReleaseNote {
    /// Revision that the note was written against; the note itself makes the next one.
    pub against: u64,
    /// Identity of this note, so that a lost answer can be resolved by reading back.
    pub id: Name,
    /// Operator or shift that wrote the note.
    pub by: Name,
    /// Reason for people.
    pub why: Name,
    /// Time of application, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// New declarations.
    pub added: Section,
    /// Replaced declarations.
    pub changed: Section,
    /// Withdrawn declarations.
    pub withdrawn: Vec<Change>,
}

/// Kinds that a note may name in `withdrawn`.
const KINDS: [&str; 5] = ["customers", "models", "policies", "services", "trust"];

impl ReleaseNote {
    /// Revision that this note makes.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.against + 1
    }

    /// The note in the shape that operators write.
    #[must_use]
    pub fn to_value(&self) -> serde_json::Value {
        let mut withdrawn = std::collections::BTreeMap::<&str, Vec<&str>>::new();
        for change in &self.withdrawn {
            withdrawn
                .entry(&change.kind)
                .or_default()
                .push(&change.name);
        }
        serde_json::json!({
            "revision": self.against,
            "by": self.by,
            "why": self.why,
            "added": self.added,
            "changed": self.changed,
            "withdrawn": withdrawn,
        })
    }

    /// Text of a document that [`ReleaseNote::read`] reads back.
    #[must_use]
    pub fn to_document(&self) -> String {
        format!("{:#}", self.to_value())
    }

    /// Name of the part that declares `change`: `added`, `changed`; `None` when neither does.
    pub(crate) fn part_of(&self, change: &Change) -> Option<&'static str> {
        if self.added.contains(change) {
            Some("added")
        } else if self.changed.contains(change) {
            Some("changed")
        } else {
            None
        }
    }

    /// Reads a note and checks it against the catalog in force.
    ///
    /// # Errors
    /// All findings with their places; contradictions are looked for when the note itself is right.
    pub fn read_against(doc: &Document, catalog: &Catalog) -> Result<(Self, Catalog), Findings> {
        doc.read(|fields| {
            let note = Self::from_fields(fields)?;
            if fields.has_findings() {
                return None;
            }
            match catalog.apply(&note) {
                Ok(next) => Some((note, next)),
                Err(contradictions) => {
                    for contradiction in contradictions.0 {
                        fields.report_path(&contradiction.path, contradiction.detail);
                    }
                    None
                }
            }
        })
    }

    /// Reads a note, reporting everything that is wrong together.
    ///
    /// The fields `id` and `at_ms` are left empty; they are set when the note is applied.
    ///
    /// # Errors
    /// All findings with their places.
    pub fn read(doc: &Document) -> Result<Self, Findings> {
        doc.read(Self::from_fields)
    }

    fn from_fields(fields: &mut Fields<'_>) -> Option<Self> {
        let against = fields.required_integer("revision", 0..=u64::MAX - 1);
        let by = fields.optional_text("by").unwrap_or_else(|| "-".into());
        let why = fields.optional_text("why").unwrap_or_else(|| "-".into());
        let added = fields.optional_object("added", |f| Some(read_section(f)));
        let changed = fields.optional_object("changed", |f| Some(read_section(f)));
        let withdrawn = fields.optional_object("withdrawn", |f| Some(read_withdrawn(f)));
        let note = Self {
            against: against?,
            id: "".into(),
            by,
            why,
            at_ms: 0,
            added: added.unwrap_or_default(),
            changed: changed.unwrap_or_default(),
            withdrawn: withdrawn.unwrap_or_default(),
        };
        note.reject_overlaps(fields);
        Some(note)
    }

    fn reject_overlaps(&self, fields: &Fields<'_>) {
        for change in self.added.names() {
            if self.changed.contains(&change) || self.withdrawn.contains(&change) {
                let path = ["added".into(), change.kind, change.name];
                fields.report_path(&path, "stands in two parts; expected one");
            }
        }
        for change in self.changed.names() {
            if self.withdrawn.contains(&change) {
                let path = ["changed".into(), change.kind, change.name];
                fields.report_path(&path, "stands in two parts; expected one");
            }
        }
    }
}

fn read_section(fields: &mut Fields<'_>) -> Section {
    let customers = fields.each_object("customers", |_, f| Customer::from_fields(f));
    let models = fields.each_object("models", |_, f| Model::from_fields(f));
    let policies = fields.each_object("policies", |_, f| Policy::from_fields(f));
    let services = fields.each_object("services", |_, f| Some(Service::from_fields(f)));
    let trust = fields.each_object("trust", |_, f| Some(Trust::from_fields(f)));
    Section {
        customers: customers.into_iter().collect(),
        models: models.into_iter().collect(),
        policies: policies.into_iter().collect(),
        services: services.into_iter().collect(),
        trust: trust.into_iter().collect(),
    }
}

fn read_withdrawn(fields: &mut Fields<'_>) -> Vec<Change> {
    let mut out = Vec::new();
    for kind in KINDS {
        let names = fields.parsed_list::<String>(kind, "a name");
        for (n, name) in names.iter().enumerate() {
            if names[..n].contains(name) {
                let path = [Name::from(kind), Name::from(name.as_str())];
                fields.report_path(&path, "withdrawn twice; expected once");
            }
        }
        out.extend(names.into_iter().map(|name| Change {
            kind: kind.into(),
            name: name.into(),
        }));
    }
    out
}
