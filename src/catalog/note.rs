//! Release notes, by which operators add, change and withdraw declarations.

use serde::{Deserialize, Serialize};

use crate::catalog::{
    Catalog, Customer, DeclarationId, Declarations, Model, Policy, Service, Trust,
};
use crate::prelude::*;
use crate::settings::{Document, Fields, Findings};

/// A release note written against one revision of the catalog.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReleaseNote {
    /// Revision that the note was written against; the note creates the next one.
    pub against: u64,
    /// Unique identity of the note; if the platform's answer to a write is lost, it shows on
    /// reading back whether the note was accepted.
    pub id: Name,
    /// Operator or shift that wrote the note.
    pub by: Name,
    /// Reason, as free text.
    pub why: Name,
    /// Time at which the note was applied, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// New declarations.
    pub added: Declarations,
    /// Replaced declarations.
    pub changed: Declarations,
    /// Withdrawn declarations.
    pub withdrawn: Vec<DeclarationId>,
}

/// Kinds of declarations, as keys of a note.
const DECLARATION_KINDS: [&str; 5] = ["customers", "models", "policies", "services", "trust"];

impl ReleaseNote {
    /// Revision that this note creates.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.against + 1
    }

    /// The note as JSON in the form that operators write.
    #[must_use]
    pub fn to_value(&self) -> serde_json::Value {
        let mut withdrawn = std::collections::BTreeMap::<&str, Vec<&str>>::new();
        for id in &self.withdrawn {
            withdrawn.entry(&id.kind).or_default().push(&id.name);
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

    /// The note as the text of a document that [`ReleaseNote::read`] accepts.
    #[must_use]
    pub fn to_document(&self) -> String {
        format!("{:#}", self.to_value())
    }

    /// Key of the part that declares `id`, `added` or `changed`; `None` when neither does.
    pub(crate) fn part_of(&self, id: &DeclarationId) -> Option<&'static str> {
        if self.added.contains(id) {
            Some("added")
        } else if self.changed.contains(id) {
            Some("changed")
        } else {
            None
        }
    }

    /// Reads a note and applies it to `catalog`; returns the note and the resulting catalog.
    ///
    /// # Errors
    /// All findings with their positions. Contradictions with `catalog` are reported only if the
    /// note is valid by itself.
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

    /// Reads a note without a catalog to check it against.
    ///
    /// The fields `id` and `at_ms` are left empty; they are set when the note is applied.
    ///
    /// # Errors
    /// All findings with their positions.
    pub fn read(doc: &Document) -> Result<Self, Findings> {
        doc.read(Self::from_fields)
    }

    fn from_fields(fields: &mut Fields<'_>) -> Option<Self> {
        let against = fields.required_integer("revision", 0..=u64::MAX - 1);
        let by = fields.optional_text("by").unwrap_or_else(|| "-".into());
        let why = fields.optional_text("why").unwrap_or_else(|| "-".into());
        let added = fields.optional_object("added", |f| Some(read_declarations(f)));
        let changed = fields.optional_object("changed", |f| Some(read_declarations(f)));
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
        for id in self.added.ids() {
            if self.changed.contains(&id) || self.withdrawn.contains(&id) {
                let path = ["added".into(), id.kind, id.name];
                fields.report_path(&path, "stands in two parts; expected one");
            }
        }
        for id in self.changed.ids() {
            if self.withdrawn.contains(&id) {
                let path = ["changed".into(), id.kind, id.name];
                fields.report_path(&path, "stands in two parts; expected one");
            }
        }
    }
}

fn read_declarations(fields: &mut Fields<'_>) -> Declarations {
    let customers = fields.each_object("customers", |_, f| Customer::from_fields(f));
    let models = fields.each_object("models", |_, f| Model::from_fields(f));
    let policies = fields.each_object("policies", |_, f| Policy::from_fields(f));
    let services = fields.each_object("services", |_, f| Some(Service::from_fields(f)));
    let trust = fields.each_object("trust", |_, f| Some(Trust::from_fields(f)));
    Declarations {
        customers: customers.into_iter().collect(),
        models: models.into_iter().collect(),
        policies: policies.into_iter().collect(),
        services: services.into_iter().collect(),
        trust: trust.into_iter().collect(),
    }
}

fn read_withdrawn(fields: &mut Fields<'_>) -> Vec<DeclarationId> {
    let mut out = Vec::new();
    for kind in DECLARATION_KINDS {
        let names = fields.parsed_list::<String>(kind, "a name");
        for (n, name) in names.iter().enumerate() {
            if names[..n].contains(name) {
                let path = [Name::from(kind), Name::from(name.as_str())];
                fields.report_path(&path, "withdrawn twice; expected once");
            }
        }
        out.extend(names.into_iter().map(|name| DeclarationId {
            kind: kind.into(),
            name: name.into(),
        }));
    }
    out
}
