//! Splits JSON text into the values of an object or array without decoding them.
//!
//! A parser rejects a whole text for one value that is nested too deep, out of range or not text. Here
//! only quotes and brackets count, so that each value can be decoded by itself.

use std::borrow::Cow;

/// Values of a JSON array; `None` if the text is no array.
#[must_use]
pub fn items(array: &[u8]) -> Option<impl Iterator<Item = &[u8]>> {
    Some(Values(enclosed(array, b'[', b']')?))
}

/// Value of a field of a JSON object, the last one if there are several.
#[must_use]
pub fn field<'a>(object: &'a [u8], key: &str) -> Option<&'a [u8]> {
    let fields = fields(object)?.filter(|(k, _)| k == key);
    fields.last().map(|(_, value)| value)
}

/// Keys and values of a JSON object; `None` if the text is no object. Members whose key cannot be
/// decoded are left out.
#[must_use]
pub fn fields(object: &[u8]) -> Option<impl Iterator<Item = (Cow<'_, str>, &[u8])>> {
    let members = Values(enclosed(object, b'{', b'}')?);
    Some(members.filter_map(split_member))
}

/// Text between the brackets at its ends.
fn enclosed(text: &[u8], open: u8, close: u8) -> Option<&[u8]> {
    match text.trim_ascii() {
        [first, inner @ .., last] if *first == open && *last == close => Some(inner),
        _ => None,
    }
}

/// Splits a member of an object into its key and its value.
fn split_member(member: &[u8]) -> Option<(Cow<'_, str>, &[u8])> {
    let rest = member.strip_prefix(b"\"")?;
    let end = string_end(rest)?;
    let value = rest[end + 1..].trim_ascii_start().strip_prefix(b":")?;
    let key = if rest[..end].contains(&b'\\') {
        Cow::Owned(serde_json::from_slice(&member[..end + 2]).ok()?)
    } else {
        Cow::Borrowed(std::str::from_utf8(&rest[..end]).ok()?)
    };
    Some((key, value.trim_ascii_start()))
}

/// Position of the quote that ends a string.
fn string_end(text: &[u8]) -> Option<usize> {
    let mut is_escaped = false;
    text.iter().position(|byte| {
        let ends = *byte == b'"' && !is_escaped;
        is_escaped = *byte == b'\\' && !is_escaped;
        ends
    })
}

/// Values that are separated by commas.
struct Values<'a>(&'a [u8]);

impl<'a> Iterator for Values<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        let text = self.0.trim_ascii_start();
        if text.is_empty() {
            return None;
        }
        let end = value_end(text);
        self.0 = text.get(end + 1..).unwrap_or_default();
        Some(text[..end].trim_ascii_end())
    }
}

/// Position of the comma behind the first value, or the end of the text.
fn value_end(text: &[u8]) -> usize {
    let mut depth = 0_usize;
    let mut at = 0;
    while let Some(byte) = text.get(at) {
        at += 1;
        match byte {
            b'"' => at += string_end(&text[at..]).map_or(text.len() - at, |end| end + 1),
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            b',' if depth == 0 => return at - 1,
            _ => {}
        }
    }
    text.len()
}
