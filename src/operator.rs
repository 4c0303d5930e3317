//! The operators' commands: `check`, `plan`, `apply`, `status`, `history`, `revert`, `key` and
//! `explain`.
//!
//! Each command returns a [`Report`], which renders as text for people or as JSON for programs and
//! gives the exit status.

mod apply;
mod apply_report;
mod check;
mod entry_client;
mod exit;
mod explain;
mod history;
mod key;
mod log_line;
mod paint;
mod plan;
mod planned_change;
mod report;
mod revert;
mod status;
mod table;
mod time;

pub use apply::{Applier, NoteMetadata};
pub use apply_report::ApplyReport;
pub use check::{CheckReport, CheckedFile, check};
pub use entry_client::EntryAdminClient;
pub use exit::Exit;
pub use explain::{ExplainReport, explain};
pub use history::{HistoryReport, HistoryRow, history};
pub use key::{KeyReport, key};
pub use log_line::LogLine;
pub use paint::Paint;
pub use plan::{PlanReport, plan};
pub use planned_change::{PlannedChange, planned_changes};
pub use report::{OperatorError, Report};
pub use revert::{RevertReport, revert};
pub use status::{EntryRow, StatusReport, status};
pub use table::Table;
pub use time::{age_text, utc_text};
