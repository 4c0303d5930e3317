//! `guavahold history`: lists accepted release notes.

use std::fmt::Write;

use serde::Serialize;

use crate::catalog::{CatalogStore, ReleaseNote};
use crate::operator::{Exit, OperatorError, Paint, Report, Table, utc_text};
use crate::prelude::*;

/// One accepted note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HistoryRow {
    /// Revision that the note made.
    pub revision: u64,
    /// Time when it was applied, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Operator or shift that wrote it.
    pub by: Name,
    /// Reason that it gives.
    pub why: Name,
    /// Numbers of declarations added, changed and withdrawn.
    pub counts: [usize; 3],
    /// Id of the note.
    pub note: Name,
}

/// Accepted notes, newest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HistoryReport {
    /// One row for each note.
    pub notes: Vec<HistoryRow>,
    /// Revisions in the requested range whose note is not stored.
    pub missing: Vec<u64>,
}

/// Reads the last `count` accepted notes.
///
/// # Errors
/// When the platform fails.
pub async fn history(store: &CatalogStore, count: u64) -> Result<HistoryReport, OperatorError> {
    let head = store.read_head().await?.unwrap_or_default().0;
    let mut report = HistoryReport {
        notes: Vec::new(),
        missing: Vec::new(),
    };
    let oldest = head.revision.saturating_sub(count) + 1;
    for revision in (oldest..=head.revision).rev() {
        let in_tail = head.tail.iter().find(|n| n.revision() == revision);
        let note = match in_tail {
            Some(note) => Some(note.clone()),
            None => store.read_note(revision).await?.map(|record| record.note),
        };
        match note {
            Some(note) => report.notes.push(history_row(&note)),
            None => report.missing.push(revision),
        }
    }
    Ok(report)
}

/// Summarizes a note.
pub(crate) fn history_row(note: &ReleaseNote) -> HistoryRow {
    HistoryRow {
        revision: note.revision(),
        at_ms: note.at_ms,
        by: note.by.clone(),
        why: note.why.clone(),
        counts: [
            note.added.ids().len(),
            note.changed.ids().len(),
            note.withdrawn.len(),
        ],
        note: note.id.clone(),
    }
}

/// Renders notes as a table.
pub(crate) fn render_history(rows: &[HistoryRow]) -> String {
    let mut table = Table::new(&[
        "revision",
        "accepted",
        "by",
        "added",
        "changed",
        "withdrawn",
        "why",
    ]);
    for row in rows {
        table.row([
            row.revision.to_string(),
            utc_text(row.at_ms),
            row.by.to_string(),
            row.counts[0].to_string(),
            row.counts[1].to_string(),
            row.counts[2].to_string(),
            row.why.to_string(),
        ]);
    }
    table.render()
}

impl Report for HistoryReport {
    fn exit(&self) -> Exit {
        Exit::Ok
    }

    fn text(&self, _: Paint) -> String {
        let mut out = render_history(&self.notes);
        for revision in &self.missing {
            let _ = writeln!(out, "  revision {revision}: its note is not kept");
        }
        out
    }

    fn json(&self) -> serde_json::Value {
        serde_json::to_value(self).unwrap_or_default()
    }
}
