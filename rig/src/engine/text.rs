//! Prompt text and the deterministic response derived from it.

use serde_json::Value;

/// Concatenates the messages of a chat request body, roles included.
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

/// Generates the response of a weight version to a prompt, one word for each token.
///
/// Each word depends on the version, the prompt and the position, so that tests detect a response
/// that is spliced or belongs to another request.
#[must_use]
pub fn response_words(weights: &str, prompt: &str, tokens: u32) -> Vec<String> {
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
