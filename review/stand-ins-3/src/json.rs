//! A small reader of JSON that keeps the text of what it reads.

/// Text of the value under `key` of the object `text`.
pub fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = end_of(bytes, at)?;
        let name = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = end_of(bytes, at)?;
        if name == key {
            return Some(&text[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    None
}

/// Texts of the items of an array.
pub fn items(text: &str) -> Vec<&str> {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'[') {
        return out;
    }
    at = skip_space(bytes, at + 1);
    while at < bytes.len() && bytes[at] != b']' {
        let Some(end) = end_of(bytes, at) else { break };
        out.push(&text[at..end]);
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    out
}

/// A string without escapes.
pub fn string(text: &str) -> String {
    text.trim().trim_matches('"').to_owned()
}

/// A whole number.
pub fn number(text: &str) -> Option<u64> {
    text.trim().parse().ok()
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// End of the value that begins at `at`.
fn end_of(bytes: &[u8], at: usize) -> Option<usize> {
    match bytes.get(at)? {
        b'"' => {
            let mut i = at + 1;
            loop {
                match bytes.get(i)? {
                    b'\\' => i += 2,
                    b'"' => return Some(i + 1),
                    _ => i += 1,
                }
            }
        }
        b'{' | b'[' => {
            let mut depth = 0;
            let mut i = at;
            loop {
                match bytes.get(i)? {
                    b'"' => {
                        i = end_of(bytes, i)?;
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => {
                        depth -= 1;
                        if depth == 0 {
                            return Some(i + 1);
                        }
                    }
                    _ => {}
                }
                i += 1;
            }
        }
        _ => {
            let mut i = at;
            while bytes.get(i).is_some_and(|b| !b",]} \t\r\n".contains(b)) {
                i += 1;
            }
            Some(i)
        }
    }
}
