//! Parser for one line of an entry's log.

use std::collections::BTreeMap;

use serde::Serialize;

/// Fields of one log line, which has the form `key=value key="quoted value"`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LogLine(BTreeMap<String, String>);

impl LogLine {
    /// Parses a line. Words without `=` are skipped, and quoted values are unquoted.
    #[must_use]
    pub fn parse(line: &str) -> Self {
        let mut fields = BTreeMap::new();
        let mut rest = line.trim();
        while !rest.is_empty() {
            let key_end = rest.find([' ', '=']).unwrap_or(rest.len());
            let (key, after) = rest.split_at(key_end);
            let Some(after) = after.strip_prefix('=') else {
                rest = after.trim_start();
                continue;
            };
            let (value, after) = split_value(after);
            fields.insert(key.to_owned(), value);
            rest = after.trim_start();
        }
        Self(fields)
    }

    /// Returns a field's value, or an empty string if it is absent.
    #[must_use]
    pub fn get(&self, key: &str) -> &str {
        self.0.get(key).map_or("", String::as_str)
    }

    /// Returns a field's value as a number, or zero if it is absent or no unsigned number.
    #[must_use]
    pub fn number(&self, key: &str) -> u64 {
        self.get(key).parse().unwrap_or_default()
    }
}

/// Splits a value from the rest of the line.
fn split_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((at, c)) = chars.next() {
        match c {
            '"' => return (value, &quoted[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            other => value.push(other),
        }
    }
    (value, "")
}
