//! `guavahold status`: shows the accepted revision and the revision in force at each entry.

use std::fmt::Write;

use serde::Serialize;

use crate::catalog::{CatalogHead, CatalogStore, EntryRevision};
use crate::operator::{
    EntryAdminClient, Exit, OperatorError, Paint, Report, Table, age_text, utc_text,
};
use crate::platform::{Platform, Role, Vm, VmPhase};
use crate::prelude::*;

/// Revision in force at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EntryRow {
    /// Failure domain of the entry.
    pub domain: Name,
    /// Name of the entry.
    pub entry: Name,
    /// Revision in force; `None` if the entry is listed by the platform but not reported.
    pub revision: Option<u64>,
    /// Time since the revision came into force, in milliseconds.
    pub since_ms: Option<u64>,
}

/// The accepted revision, and the revisions in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StatusReport {
    /// Latest accepted revision.
    pub revision: u64,
    /// Id of its note.
    pub note: Name,
    /// Operator or shift that wrote the note.
    pub by: Name,
    /// Reason that the note gives.
    pub why: Name,
    /// Time when it was applied, in milliseconds since the Unix epoch; zero for the empty catalog.
    pub at_ms: u64,
    /// Entries, sorted by failure domain and name.
    pub entries: Vec<EntryRow>,
    /// Error of the platform; `revision` is then the newest that an entry reports.
    pub platform_error: Option<String>,
}

/// Reads the accepted revision and queries entries for theirs, which also works while the platform
/// is unreachable.
///
/// # Errors
/// When the platform fails and no entry responds.
pub async fn status(
    platform: &Arc<dyn Platform>,
    entries: &EntryAdminClient,
) -> Result<StatusReport, OperatorError> {
    let reported = entries.revisions_in_force().await;
    let read = async {
        let head = CatalogStore::new(platform.clone()).read_head().await?;
        Ok((head.unwrap_or_default().0, listed_entries(platform).await?))
    };
    match read.await {
        Ok((head, listed)) => Ok(accepted_status(
            &head,
            &listed,
            &reported,
            !entries.is_empty(),
        )),
        Err(err) if reported.is_empty() => Err(err),
        Err(err) => Ok(StatusReport {
            revision: reported.iter().map(|r| r.revision).max().unwrap_or(0),
            note: "".into(),
            by: "".into(),
            why: "".into(),
            at_ms: 0,
            entries: entry_rows(&reported, &[]),
            platform_error: Some(err.to_string()),
        }),
    }
}

/// Makes the report from the accepted head; it lists entries only if any were queried.
fn accepted_status(
    head: &CatalogHead,
    listed: &[Vm],
    reported: &[EntryRevision],
    entries_queried: bool,
) -> StatusReport {
    let last = head.tail.last().cloned().unwrap_or_default();
    StatusReport {
        revision: head.revision,
        note: last.id,
        by: last.by,
        why: last.why,
        at_ms: last.at_ms,
        entries: if entries_queried {
            entry_rows(reported, listed)
        } else {
            Vec::new()
        },
        platform_error: None,
    }
}

/// Entries that the platform lists as live.
pub(crate) async fn listed_entries(platform: &Arc<dyn Platform>) -> Result<Vec<Vm>, OperatorError> {
    let listing = platform.list(Vm::KIND).await?;
    let vms = listing.items.iter().filter_map(|o| o.decode::<Vm>().ok());
    let live = vms.filter(|vm| vm.role == Role::Entry && vm.phase == VmPhase::Live);
    Ok(live.collect())
}

/// Joins reported revisions with the listed entries, sorted by failure domain and name.
pub(crate) fn entry_rows(reported: &[EntryRevision], listed: &[Vm]) -> Vec<EntryRow> {
    let not_reporting = listed
        .iter()
        .filter(|vm| reported.iter().all(|r| r.entry != vm.name));
    let not_reporting = not_reporting.map(|vm| EntryRow {
        domain: vm.domain.clone(),
        entry: vm.name.clone(),
        revision: None,
        since_ms: None,
    });
    let reported = reported.iter().map(|r| EntryRow {
        domain: r.domain.clone(),
        entry: r.entry.clone(),
        revision: Some(r.revision),
        since_ms: Some(r.since_ms),
    });
    let mut rows: Vec<_> = reported.chain(not_reporting).collect();
    rows.sort_by(|a, b| (&a.domain, &a.entry).cmp(&(&b.domain, &b.entry)));
    rows
}

/// Renders entries as a table, with the difference of each from the accepted `revision`.
pub(crate) fn render_entries(rows: &[EntryRow], revision: u64, paint: Paint) -> String {
    let mut table = Table::new(&["domain", "entry", "revision", "since", "state"]);
    for row in rows {
        let state = match row.revision {
            Some(r) if r > revision => paint.bad(&format!("{} ahead", r - revision)),
            Some(r) if r == revision => paint.good("in force"),
            Some(r) => paint.bad(&format!("{} behind", revision - r)),
            None => paint.bad("listed, not heard"),
        };
        let since = row.since_ms.map(age_text);
        table.row([
            row.domain.to_string(),
            row.entry.to_string(),
            row.revision.map_or("-".into(), |r| r.to_string()),
            since.unwrap_or_else(|| "-".into()),
            state,
        ]);
    }
    table.render()
}

impl Report for StatusReport {
    fn exit(&self) -> Exit {
        match self.platform_error {
            None => Exit::Ok,
            Some(_) => Exit::Unreachable,
        }
    }

    fn text(&self, paint: Paint) -> String {
        let title = format!("revision {}", self.revision);
        let mut out = paint.strong(&title);
        if let Some(err) = &self.platform_error {
            let _ = write!(out, " is the newest reported; {}", paint.bad(err));
        } else if self.revision > 0 {
            let at = utc_text(self.at_ms);
            let _ = write!(out, " accepted {at} by {}: {}", self.by, self.why);
        }
        out.push('\n');
        if self.entries.is_empty() {
            out.push_str("  no entry asked; name one with --entry IP:PORT\n");
        } else {
            out.push_str(&render_entries(&self.entries, self.revision, paint));
        }
        out
    }

    fn json(&self) -> serde_json::Value {
        serde_json::to_value(self).unwrap_or_default()
    }
}
