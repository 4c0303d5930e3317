//! `guavahold check`: checks release notes offline.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use crate::catalog::{Catalog, ReleaseNote};
use crate::operator::{Exit, Paint, Report};
use crate::prelude::*;
use crate::settings::{Document, Finding, Findings};

/// Result of the check of one file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CheckedFile {
    /// Name of the file.
    pub file: Name,
    /// All findings; empty if the note is valid.
    pub findings: Vec<Finding>,
}

/// Result of the check of all files.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CheckReport {
    /// Files, in the order of the command line.
    pub files: Vec<CheckedFile>,
}

impl CheckReport {
    /// Makes the report for a single file.
    #[must_use]
    pub fn of(file: &str, findings: Findings) -> Self {
        let file = CheckedFile {
            file: file.into(),
            findings: findings.0,
        };
        Self { files: vec![file] }
    }
}

/// Checks each note by itself. Notes that follow each other, starting from the empty catalog, are
/// also checked against the catalog that their predecessors make, up to the first one with findings
/// and the first revision with several notes.
#[must_use]
pub fn check(docs: &[(Name, Document)]) -> CheckReport {
    let mut files = Vec::new();
    let mut by_base: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for (n, (file, doc)) in docs.iter().enumerate() {
        let read = ReleaseNote::read(doc);
        if let Ok(note) = &read {
            by_base.entry(note.against).or_default().push(n);
        }
        files.push(CheckedFile {
            file: file.clone(),
            findings: read.err().unwrap_or_default().0,
        });
    }
    let mut catalog = Catalog::default();
    while let Some([n]) = by_base.get(&catalog.revision).map(Vec::as_slice) {
        match ReleaseNote::read_against(&docs[*n].1, &catalog) {
            Ok((_, next)) => catalog = next,
            Err(findings) => {
                files[*n].findings = findings.0;
                break;
            }
        }
    }
    CheckReport { files }
}

impl Report for CheckReport {
    fn exit(&self) -> Exit {
        if self.files.iter().all(|file| file.findings.is_empty()) {
            Exit::Ok
        } else {
            Exit::Findings
        }
    }

    fn text(&self, paint: Paint) -> String {
        let mut out = String::new();
        for file in &self.files {
            for finding in &file.findings {
                let _ = writeln!(out, "{finding}");
            }
            let verdict = match file.findings.len() {
                0 => paint.good("ok"),
                1 => paint.bad("1 finding"),
                n => paint.bad(&format!("{n} findings")),
            };
            let _ = writeln!(out, "{}: {verdict}", file.file);
        }
        out
    }

    fn json(&self) -> serde_json::Value {
        serde_json::to_value(self).unwrap_or_default()
    }
}
