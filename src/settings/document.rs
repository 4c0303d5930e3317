//! Reading of a document and collection of findings.

use std::cell::RefCell;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Range;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::prelude::*;
use crate::settings::{Fields, Finding, Findings, Position};

/// Text of a document and the findings reported so far.
#[derive(Debug)]
pub struct Document {
    file: Name,
    text: String,
    findings: RefCell<Vec<Finding>>,
}

impl Document {
    /// Makes a document of `text`; findings name it `file`.
    pub fn new(file: impl Into<Name>, text: impl Into<String>) -> Self {
        Self {
            file: file.into(),
            text: text.into(),
            findings: RefCell::default(),
        }
    }

    /// Loads the document from a file.
    ///
    /// # Errors
    /// When the file cannot be read.
    pub fn open(path: &str) -> std::io::Result<Self> {
        Ok(Self::new(path, std::fs::read_to_string(path)?))
    }

    /// Parses the text, reads the root object with `f` and reports unknown keys.
    ///
    /// # Errors
    /// All findings, sorted by position.
    pub fn read<T>(&self, f: impl FnOnce(&mut Fields<'_>) -> Option<T>) -> Result<T, Findings> {
        let value = self.read_root(f);
        let mut findings = self.findings.take();
        findings.sort();
        findings.dedup();
        match value {
            Some(value) if findings.is_empty() => Ok(value),
            _ => Err(Findings(findings)),
        }
    }

    fn read_root<T>(&self, f: impl FnOnce(&mut Fields<'_>) -> Option<T>) -> Option<T> {
        let options = ParseOptions {
            allow_loose_object_property_names: false,
            allow_missing_commas: false,
            allow_single_quoted_strings: false,
            allow_hexadecimal_numbers: false,
            ..ParseOptions::default()
        };
        let parsed = match parse_to_ast(&self.text, &CollectOptions::default(), &options) {
            Ok(parsed) => parsed,
            Err(err) => {
                self.report(err.range(), "document", err.kind().to_string());
                return None;
            }
        };
        let Some(Value::Object(root)) = &parsed.value else {
            self.report(Range::new(0, 0), "document", "expected an object");
            return None;
        };
        let mut fields = Fields::new(self, root, String::new());
        let value = f(&mut fields);
        fields.finish();
        value
    }

    /// Records a finding about the value `path`, positioned at the start of `range`.
    pub(crate) fn report(&self, range: Range, path: &str, detail: impl Into<String>) {
        let finding = Finding {
            position: self.position(range.start),
            path: path.to_owned(),
            detail: detail.into(),
        };
        self.findings.borrow_mut().push(finding);
    }

    /// Returns whether there are any findings so far.
    pub(crate) fn has_findings(&self) -> bool {
        !self.findings.borrow().is_empty()
    }

    fn position(&self, offset: usize) -> Position {
        let before = &self.text[..offset.min(self.text.len())];
        let line_start = before.rfind('\n').map_or(0, |n| n + 1);
        Position {
            file: self.file.clone(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}
