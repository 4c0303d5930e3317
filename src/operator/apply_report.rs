//! What applying a note came to.

use std::fmt::Write;

use serde::Serialize;

use crate::operator::history::render as render_notes;
use crate::operator::in_force::render as render_entries;
use crate::operator::planned::render as render_changes;
use crate::operator::{CheckReport, EntryRow, Exit, HistoryRow, Paint, PlannedChange, Report};
use crate::prelude::*;

/// Result of applying a note.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "result")]
pub enum ApplyReport {
    /// The note is accepted.
    Accepted {
        /// Revision that it made.
        revision: u64,
        /// Its identity.
        note: Name,
        /// What it changed.
        changes: Vec<PlannedChange>,
        /// Entries, when waited for; `in_force` tells whether all report it.
        entries: Vec<EntryRow>,
        /// Whether every entry reported it in force; none when not waited for.
        in_force: Option<bool>,
    },
    /// The note has findings; nothing was written.
    Findings(CheckReport),
    /// Another shift's note was accepted first; nothing was written.
    LostRace {
        /// Revision in force.
        revision: u64,
        /// Notes accepted since the revision that the note was written against.
        others: Vec<HistoryRow>,
        /// What the note would change on top of them.
        merged: Vec<PlannedChange>,
        /// Why the note does not fit on top of them.
        conflicts: Vec<String>,
    },
    /// Nobody can tell whether the note was accepted.
    Unknown {
        /// Its identity.
        note: Name,
        /// Last failure.
        detail: String,
    },
}

impl ApplyReport {
    /// Adds what was found by [`Applier::wait`].
    #[must_use]
    pub fn waited(self, rows: Vec<EntryRow>, done: bool) -> Self {
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
    let mut out = format!("{}\n{}", paint.bad(&title), render_notes(others));
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
