//! `guavahold plan`: shows what a note would change.

use serde::Serialize;

use crate::catalog::{CatalogStore, ReleaseNote};
use crate::operator::planned_change::render_changes;
use crate::operator::{
    CheckReport, Exit, OperatorError, Paint, PlannedChange, Report, planned_changes,
};
use crate::settings::Document;

/// Changes that a note would make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PlanReport {
    /// Latest accepted revision.
    pub in_force: u64,
    /// Revision that the note would make.
    pub revision: u64,
    /// Changes, by kind and name of the declaration.
    pub changes: Vec<PlannedChange>,
}

/// Compares a note with the accepted catalog.
///
/// # Errors
/// When the platform fails; findings in the note are the inner error.
pub async fn plan(
    store: &CatalogStore,
    file: &str,
    doc: &Document,
) -> Result<Result<PlanReport, CheckReport>, OperatorError> {
    let head = store.read_head().await?.unwrap_or_default().0;
    let catalog = store.read_catalog(&head).await?;
    Ok(match ReleaseNote::read_against(doc, &catalog) {
        Ok((_, next)) => Ok(PlanReport {
            in_force: catalog.revision,
            revision: next.revision,
            changes: planned_changes(&catalog, &next),
        }),
        Err(findings) => Err(CheckReport::of(file, findings)),
    })
}

impl Report for PlanReport {
    fn exit(&self) -> Exit {
        Exit::Ok
    }

    fn text(&self, paint: Paint) -> String {
        let title = format!("revision {} to {}", self.in_force, self.revision);
        format!(
            "{}\n{}",
            paint.strong(&title),
            render_changes(&self.changes)
        )
    }

    fn json(&self) -> serde_json::Value {
        serde_json::to_value(self).unwrap_or_default()
    }
}
