//! Typed reading of the fields of one object.

use std::collections::HashSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};

use crate::prelude::*;
use crate::settings::Document;

/// Longest accepted name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Description of a valid name, for findings.
const NAME_FORMAT: &str = "1 to 128 letters, digits, '-', '_' or '.'";

/// Fields of one object; each getter reports findings about its field.
#[derive(Debug)]
pub struct Fields<'a> {
    doc: &'a Document,
    object: &'a Object<'a>,
    path: String,
    /// Keys that were read; all others are unknown.
    read_keys: HashSet<&'a str>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(doc: &'a Document, object: &'a Object<'a>, path: String) -> Self {
        let fields = Self {
            doc,
            object,
            path,
            read_keys: HashSet::new(),
        };
        fields.report_duplicates();
        fields
    }

    fn report_duplicates(&self) {
        let mut names = HashSet::new();
        for prop in &self.object.properties {
            if !names.insert(prop.name.as_str()) {
                let path = self.path_of(prop.name.as_str());
                let detail = "key given twice; expected once";
                self.doc.report(prop.name.range(), &path, detail);
            }
        }
    }

    /// Reports a finding about every key that no getter has read.
    pub fn finish(&self) {
        for prop in &self.object.properties {
            let name = prop.name.as_str();
            if !self.read_keys.contains(name) {
                let mut known: Vec<_> = self.read_keys.iter().copied().collect();
                known.sort_unstable();
                let detail = format!("unknown key; expected one of {}", known.join(", "));
                self.doc
                    .report(prop.name.range(), &self.path_of(name), detail);
            }
        }
    }

    /// Reports a finding about the whole object.
    pub fn report(&self, detail: impl Into<String>) {
        self.doc.report(self.object.range, &self.path, detail);
    }

    /// Reports a finding about the field `key`, or about the object when the field is missing.
    pub fn report_field(&self, key: &str, detail: impl Into<String>) {
        let prop = self.object.get(key);
        let range = prop.map_or(self.object.range, |p| p.value.range());
        self.doc.report(range, &self.path_of(key), detail);
    }

    /// Reports a finding about the value at `path`, or about its nearest ancestor that exists; an
    /// element of `path` selects a member of an object or the equal string in a list.
    pub fn report_path(&self, path: &[Name], detail: impl Into<String>) {
        let mut range = self.object.range;
        let mut current: Option<&Value<'_>> = None;
        for key in path {
            let next = match current {
                None => self.object.get(key).map(|p| &p.value),
                Some(Value::Object(object)) => object.get(key).map(|p| &p.value),
                Some(Value::Array(list)) => list.elements.iter().find(|item| {
                    let text = item.as_string_lit();
                    text.is_some_and(|lit| *lit.value == **key)
                }),
                Some(_) => None,
            };
            let Some(value) = next else {
                break;
            };
            range = value.range();
            current = Some(value);
        }
        self.doc
            .report(range, &self.path_of(&path.join(".")), detail);
    }

    /// Returns whether the document has any findings so far.
    #[must_use]
    pub fn has_findings(&self) -> bool {
        self.doc.has_findings()
    }

    /// Returns whether `key` is present.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.object.get(key).is_some()
    }

    /// All keys, in the order of the document.
    #[must_use]
    pub fn keys(&self) -> Vec<Name> {
        let props = self.object.properties.iter();
        props.map(|p| Name::from(p.name.as_str())).collect()
    }

    /// Reads a required name of 1 to 128 letters, digits, `-`, `_` or `.`.
    pub fn name(&mut self, key: &'a str) -> Option<Name> {
        let value = self.required(key, NAME_FORMAT)?;
        let (text, range) = self.text_of(key, value)?;
        if is_name(&text) {
            return Some(text.into());
        }
        let detail = format!("expected {NAME_FORMAT}");
        self.doc.report(range, &self.path_of(key), detail);
        None
    }

    /// Reads a required string that is not empty.
    pub fn text(&mut self, key: &'a str) -> Option<Name> {
        let value = self.required(key, "a text that is not empty")?;
        self.text_of(key, value).map(|(text, _)| text.into())
    }

    /// Reads an optional string that is not empty.
    pub fn optional_text(&mut self, key: &'a str) -> Option<Name> {
        let value = self.optional(key)?;
        self.text_of(key, value).map(|(text, _)| text.into())
    }

    /// Reads a required string and parses it with [`FromStr`]; findings say that `expected` is
    /// valid.
    pub fn parsed<T: FromStr>(&mut self, key: &'a str, expected: &str) -> Option<T> {
        let value = self.required(key, expected)?;
        let (text, range) = self.text_of(key, value)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let detail = format!("{text:?} is not {expected}");
            self.doc.report(range, &self.path_of(key), detail);
        }
        parsed
    }

    /// Reads a required address of the form `ip:port`.
    pub fn address(&mut self, key: &'a str) -> Option<SocketAddr> {
        self.parsed(key, "an address of the form IP:PORT")
    }

    /// Reads a list of addresses; empty when absent.
    pub fn addresses(&mut self, key: &'a str) -> Vec<SocketAddr> {
        self.parsed_list(key, "an address of the form IP:PORT")
    }

    /// Reads a list of strings, each parsed with [`FromStr`]; empty when absent.
    pub fn parsed_list<T: FromStr>(&mut self, key: &'a str, expected: &str) -> Vec<T> {
        let path = self.path_of(key);
        let Some(value) = self.optional(key) else {
            return Vec::new();
        };
        let Value::Array(list) = value else {
            self.doc.report(value.range(), &path, "expected a list");
            return Vec::new();
        };
        let mut out = Vec::new();
        for (n, item) in list.elements.iter().enumerate() {
            let path = format!("{path}[{n}]");
            let text = item.as_string_lit().map(|s| s.value.to_string());
            match text.as_deref().map(str::parse) {
                Some(Ok(parsed)) => out.push(parsed),
                _ => self
                    .doc
                    .report(item.range(), &path, format!("expected {expected}")),
            }
        }
        out
    }

    /// Reads a whole number within `range`; `default` when absent or invalid.
    pub fn integer(&mut self, key: &'a str, range: RangeInclusive<u64>, default: u64) -> u64 {
        self.number_in(key, range, "a whole number")
            .unwrap_or(default)
    }

    /// Reads a required whole number within `range`.
    pub fn required_integer(&mut self, key: &'a str, range: RangeInclusive<u64>) -> Option<u64> {
        self.required(key, "a whole number")?;
        self.number_in(key, range, "a whole number")
    }

    /// Reads a number within `range`; `default` when absent or invalid.
    pub fn decimal(&mut self, key: &'a str, range: RangeInclusive<f64>, default: f64) -> f64 {
        self.number_in(key, range, "a number").unwrap_or(default)
    }

    /// Reads a whole number of milliseconds within `range`; `default` when absent or invalid.
    pub fn millis(
        &mut self,
        key: &'a str,
        range: RangeInclusive<u64>,
        default: Duration,
    ) -> Duration {
        let parsed = self.number_in(key, range, "a whole number of milliseconds");
        parsed.map_or(default, Duration::from_millis)
    }

    /// Reads a boolean; `default` when absent or invalid.
    pub fn boolean(&mut self, key: &'a str, default: bool) -> bool {
        match self.optional(key) {
            None => default,
            Some(Value::BooleanLit(lit)) => lit.value,
            Some(other) => {
                let path = self.path_of(key);
                self.doc
                    .report(other.range(), &path, "expected true or false");
                default
            }
        }
    }

    /// Reads a required object with `f`.
    pub fn object<T>(
        &mut self,
        key: &'a str,
        f: impl FnOnce(&mut Fields<'a>) -> Option<T>,
    ) -> Option<T> {
        self.required(key, "an object")?;
        self.optional_object(key, f)
    }

    /// Reads an optional object with `f`.
    pub fn optional_object<T>(
        &mut self,
        key: &'a str,
        f: impl FnOnce(&mut Fields<'a>) -> Option<T>,
    ) -> Option<T> {
        let path = self.path_of(key);
        let value = self.optional(key)?;
        self.nested(value, path, f)
    }

    /// Reads each member of an optional object, itself an object, with `f(name, fields)`.
    pub fn each_object<T>(
        &mut self,
        key: &'a str,
        mut f: impl FnMut(&Name, &mut Fields<'a>) -> Option<T>,
    ) -> Vec<(Name, T)> {
        let path = self.path_of(key);
        let Some(value) = self.optional(key) else {
            return Vec::new();
        };
        let Value::Object(object) = value else {
            self.doc.report(value.range(), &path, "expected an object");
            return Vec::new();
        };
        let members = Fields::new(self.doc, object, path);
        let mut out = Vec::new();
        for prop in &object.properties {
            let name = prop.name.as_str();
            let path = members.path_of(name);
            if !is_name(name) {
                self.doc
                    .report(prop.name.range(), &path, format!("expected {NAME_FORMAT}"));
                continue;
            }
            let name = Name::from(name);
            let read = members.nested(&prop.value, path, |fields| f(&name, fields));
            out.extend(read.map(|value| (name, value)));
        }
        out
    }

    /// Reads each object of an optional list with `f`.
    pub fn each_in_list<T>(
        &mut self,
        key: &'a str,
        mut f: impl FnMut(&mut Fields<'a>) -> Option<T>,
    ) -> Vec<T> {
        let path = self.path_of(key);
        let Some(value) = self.optional(key) else {
            return Vec::new();
        };
        let Value::Array(list) = value else {
            self.doc.report(value.range(), &path, "expected a list");
            return Vec::new();
        };
        let mut out = Vec::new();
        for (n, item) in list.elements.iter().enumerate() {
            out.extend(self.nested(item, format!("{path}[{n}]"), &mut f));
        }
        out
    }

    fn nested<T>(
        &self,
        value: &'a Value<'a>,
        path: String,
        f: impl FnOnce(&mut Fields<'a>) -> Option<T>,
    ) -> Option<T> {
        let Value::Object(object) = value else {
            self.doc.report(value.range(), &path, "expected an object");
            return None;
        };
        let mut fields = Fields::new(self.doc, object, path);
        let read = f(&mut fields);
        fields.finish();
        read
    }

    fn number_in<T: FromStr + PartialOrd + Display>(
        &mut self,
        key: &'a str,
        range: RangeInclusive<T>,
        expected: &str,
    ) -> Option<T> {
        let path = self.path_of(key);
        let value = self.optional(key)?;
        let parsed = match value {
            Value::NumberLit(lit) => lit.value.parse().ok().filter(|n| range.contains(n)),
            _ => None,
        };
        if parsed.is_none() {
            let detail = format!(
                "expected {expected} from {} to {}",
                range.start(),
                range.end()
            );
            self.doc.report(value.range(), &path, detail);
        }
        parsed
    }

    fn text_of(&self, key: &str, value: &'a Value<'a>) -> Option<(String, Range)> {
        match value {
            Value::StringLit(lit) if !lit.value.is_empty() => {
                Some((lit.value.to_string(), lit.range))
            }
            other => {
                let path = self.path_of(key);
                self.doc
                    .report(other.range(), &path, "expected a text that is not empty");
                None
            }
        }
    }

    fn required(&mut self, key: &'a str, expected: &str) -> Option<&'a Value<'a>> {
        let value = self.optional(key);
        if value.is_none() {
            let path = self.path_of(key);
            let detail = format!("missing; expected {expected}");
            self.doc.report(self.object.range, &path, detail);
        }
        value
    }

    fn optional(&mut self, key: &'a str) -> Option<&'a Value<'a>> {
        self.read_keys.insert(key);
        let prop: Option<&'a ObjectProp<'a>> = self.object.get(key);
        prop.map(|p| &p.value)
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }
}

/// Returns whether `text` is a valid name of a customer, model, policy, service or VM.
fn is_name(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}
