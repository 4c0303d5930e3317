//! Texts of prompts, derived from the schedule.

use guavahold::prefix_keys::TOKENS_PER_BLOCK;
use serde_json::{Value, json};

use crate::load::profile::{Kind, Profile};
use crate::load::trace::Arrival;

/// Bytes of text in one block.
const BLOCK_TEXT: usize = TOKENS_PER_BLOCK as usize * 4;
/// Bytes that the first message's role and separators add.
const ROLE_BYTES: usize = "system".len() + 2;

/// Pseudo-random text of `len` letters.
fn text(seed: &str, len: usize) -> String {
    let mut bytes = vec![0; len];
    let mut hasher = blake3::Hasher::new();
    hasher.update(seed.as_bytes());
    hasher.finalize_xof().fill(&mut bytes);
    bytes.iter().map(|b| char::from(b'a' + b % 26)).collect()
}

/// The messages of a request: what its customer shares, then each turn.
#[must_use]
pub fn prompt_messages(profile: &Profile, arrival: &Arrival) -> Vec<Value> {
    let shared = profile.shared_blocks * BLOCK_TEXT - ROLE_BYTES;
    let list = text(&format!("list {}", arrival.customer), shared);
    let mut messages = vec![json!({"role": "system", "content": list})];
    for (n, len) in arrival.turns.iter().enumerate() {
        let seed = format!("turn {} {} {n}", arrival.customer, arrival.conversation);
        messages.push(json!({"role": "user", "content": text(&seed, *len)}));
    }
    messages
}

/// The body of a chat request.
#[must_use]
pub fn chat_body(profile: &Profile, arrival: &Arrival) -> Value {
    let tokens = match arrival.kind {
        Kind::Turn => profile.turn_tokens,
        _ => 2,
    };
    json!({
        "model": Profile::model(arrival.kind),
        "messages": prompt_messages(profile, arrival),
        "max_tokens": tokens,
        "stream": true,
    })
}
