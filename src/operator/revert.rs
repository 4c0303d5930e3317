//! `guavahold revert`: writes a new note that undoes an accepted one.

use crate::catalog::{Catalog, CatalogStore, Contradiction, Contradictions, ReleaseNote};
use crate::operator::{Exit, OperatorError, Paint, Report};
use crate::prelude::*;

/// A note that undoes another one, or the contradictions that prevent it.
#[derive(Clone, Debug, PartialEq)]
pub struct RevertReport {
    /// Revision whose note is undone.
    pub undone: u64,
    /// The note, which is checked, planned and applied like any other.
    pub note: Result<ReleaseNote, Contradictions>,
}

/// Writes a note that undoes the note of `revision`, against the latest accepted revision.
///
/// # Errors
/// When the platform fails, or the record of the accepted note is not stored or has no undo.
pub async fn revert(
    store: &CatalogStore,
    revision: u64,
    by: Name,
) -> Result<RevertReport, OperatorError> {
    let head = store.read_head().await?.unwrap_or_default().0;
    let catalog = store.read_catalog(&head).await?;
    let record = store.read_note(revision).await?;
    let undo = record.and_then(|record| Some((record.undo?, record.note)));
    let Some((undo, note)) = undo else {
        let detail = format!("the note of revision {revision} is not kept; nothing to undo");
        return Err(OperatorError::Other(detail));
    };
    let overwritten = overwritten(&note, &catalog);
    let note = ReleaseNote {
        against: catalog.revision,
        by,
        why: format!("undoes revision {revision}: {}", note.why).into(),
        ..undo
    };
    let note = if overwritten.is_empty() {
        catalog.apply(&note).map(|_| note)
    } else {
        Err(Contradictions(overwritten))
    };
    Ok(RevertReport {
        undone: revision,
        note,
    })
}

/// Lists the declarations of `note` that a later note changed, withdrew or, if `note` withdrew
/// them, added again.
fn overwritten(note: &ReleaseNote, catalog: &Catalog) -> Vec<Contradiction> {
    let mut declared = note.added.clone();
    declared.merge(&note.changed);
    let mut unchanged = declared.clone();
    unchanged.retain_equal(&catalog.declarations);
    let overwritten_ids = declared
        .ids()
        .into_iter()
        .filter(|id| !unchanged.contains(id));
    let restored_ids = note
        .withdrawn
        .iter()
        .filter(|id| catalog.declarations.contains(id));
    let conflicting_ids = overwritten_ids.chain(restored_ids.cloned());
    conflicting_ids
        .map(|id| {
            let detail = "changed again by a later note; expected that one to be undone first";
            Contradiction::new(&[&id.kind, &id.name], detail)
        })
        .collect()
}

impl Report for RevertReport {
    fn exit(&self) -> Exit {
        match self.note {
            Ok(_) => Exit::Ok,
            Err(_) => Exit::Findings,
        }
    }

    fn text(&self, _: Paint) -> String {
        match &self.note {
            Ok(note) => format!("{}\n", note.to_document()),
            Err(contradictions) => format!("{contradictions}\n"),
        }
    }

    fn json(&self) -> serde_json::Value {
        match &self.note {
            Ok(note) => serde_json::json!({"undone": self.undone, "note": note.to_value()}),
            Err(Contradictions(all)) => {
                let all: Vec<_> = all.iter().map(ToString::to_string).collect();
                serde_json::json!({"undone": self.undone, "findings": all})
            }
        }
    }
}
