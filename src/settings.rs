//! Validation of settings and other documents in JSON with comments.
//!
//! A document is read in one pass that collects all findings with their positions.

mod document;
mod entry;
mod fields;
mod finding;
mod settings_file;

pub use document::Document;
pub use entry::{ENTRY_EXAMPLE, EntrySettings, EntrySettingsBuilder};
pub use fields::Fields;
pub use finding::{Finding, Findings, Position};
pub use settings_file::{ContentError, SettingsFile};
