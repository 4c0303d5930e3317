//! Deterministic answers.

use serde_json::Value;

/// The text of a request's messages, roles included.
#[must_use]
pub fn prompt_text(body: &Value) -> String {
    let mut out = String::new();
    for message in body["messages"].as_array().into_iter().flatten() {
        out.push_str(message["role"].as_str().unwrap_or_default());
        out.push('\n');
        match &message["content"] {
            Value::String(text) => out.push_str(text),
            other => out.push_str(&other.to_string()),
        }
        out.push('\n');
    }
    out
}

/// Words of the answer that a weight version gives to a prompt.
///
/// Each word is derived from version, prompt and position, so that a spliced or crossed answer
/// shows.
#[must_use]
pub fn answer_words(weights: &str, prompt: &str, tokens: u32) -> Vec<String> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(weights.as_bytes());
    hasher.update(&[0]);
    hasher.update(prompt.as_bytes());
    let mut xof = hasher.finalize_xof();
    let mut bytes = vec![0; tokens as usize * 3];
    xof.fill(&mut bytes);
    let word = |c: &[u8]| format!("{:02x}{:02x}{:02x} ", c[0], c[1], c[2]);
    bytes.chunks_exact(3).map(word).collect()
}
