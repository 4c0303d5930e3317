//! Result of applying a note.

use std::fmt::Write;

use serde::Serialize;

use crate::operator::history::render_history;
use crate::operator::planned_change::render_changes;
use crate::operator::status::render_entries;
use crate::operator::{CheckReport, EntryRow, Exit, HistoryRow, Paint, PlannedChange, Report};
use crate::prelude::*;

/// Result of applying a note.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum ApplyReport {
    /// The note is accepted.
    Accepted {
        /// Revision that the note made.
        revision: u64,
        /// Id of the note.
        note: Name,
        /// Changes that the note made.
        changes: Vec<PlannedChange>,
        /// Revisions in force at the entries; empty without `--wait`.
        entries: Vec<EntryRow>,
        /// Whether every entry reported the note in force in time; `None` without `--wait`.
        in_force: Option<bool>,
    },
    /// The note has findings; nothing was written.
    Findings(CheckReport),
    /// Another note was accepted first; nothing was written.
    LostRace {
        /// Revision in force.
        revision: u64,
        /// Notes accepted since the revision that the note was written against.
        others: Vec<HistoryRow>,
        /// Changes that the note would make on top of them; empty if the catalog contradicts it.
        merged: Vec<PlannedChange>,
        /// Overlaps with the other notes, and contradictions with the catalog that they made.
        conflicts: Vec<String>,
    },
    /// The platform's responses were lost, so that the note may or may not be accepted.
    Unknown {
        /// Id of the note.
        note: Name,
        /// Last error of the platform.
        detail: String,
    },
}

impl ApplyReport {
    /// Adds the result of
    /// [`Applier::wait_until_in_force`](crate::operator::Applier::wait_until_in_force) to an
    /// accepted note.
    #[must_use]
    pub fn with_entries(self, rows: Vec<EntryRow>, done: bool) -> Self {
        match self {
            Self::Accepted {
                revision,
                note,
                changes,
                ..
            } => Self::Accepted {
                revision,
                note,
                changes,
                entries: rows,
                in_force: Some(done),
            },
            other => other,
        }
    }
}

impl Report for ApplyReport {
    fn exit(&self) -> Exit {
        match self {
            Self::Accepted {
                in_force: Some(false),
                ..
            } => Exit::NotInForce,
            Self::Accepted { .. } => Exit::Ok,
            Self::Findings(_) => Exit::Findings,
            Self::LostRace { .. } => Exit::LostRace,
            Self::Unknown { .. } => Exit::Unknown,
        }
    }

    fn text(&self, paint: Paint) -> String {
        match self {
            Self::Accepted {
                revision,
                changes,
                entries,
                in_force,
                ..
            } => {
                let title = paint.strong(&format!("revision {revision} accepted"));
                let mut out = format!("{title}\n{}", render_changes(changes));
                if let Some(done) = in_force {
                    let verdict = if *done {
                        paint.good("in force at every entry")
                    } else {
                        paint.bad("not in force at every entry in time")
                    };
                    let _ = writeln!(out, "{verdict}");
                    out.push_str(&render_entries(entries, *revision, paint));
                }
                out
            }
            Self::Findings(report) => report.text(paint),
            Self::LostRace {
                revision,
                others,
                merged,
                conflicts,
            } => lost_race_text(*revision, others, merged, conflicts, paint),
            Self::Unknown { note, detail } => format!(
                "{}: {detail}\nlook for note {note} in `guavahold history` before applying again\n",
                paint.bad("the platform's answers were lost; the note may be accepted"),
            ),
        }
    }

    fn json(&self) -> serde_json::Value {
        serde_json::to_value(self).unwrap_or_default()
    }
}

fn lost_race_text(
    revision: u64,
    others: &[HistoryRow],
    merged: &[PlannedChange],
    conflicts: &[String],
    paint: Paint,
) -> String {
    let title = format!("nothing written: revision {revision} is in force already");
    let mut out = format!("{}\n{}", paint.bad(&title), render_history(others));
    if conflicts.is_empty() {
        out.push_str("on top of it this note would change:\n");
        out.push_str(&render_changes(merged));
        let _ = writeln!(
            out,
            "set \"revision\": {revision} in the note and apply it again"
        );
    } else {
        out.push_str("look at these before setting the note's revision anew:\n");
        for conflict in conflicts {
            let _ = writeln!(out, "  {conflict}");
        }
    }
    out
}
