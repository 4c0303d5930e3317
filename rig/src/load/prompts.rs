//! Prompts, derived from the schedule.

use guavahold::prefix_keys::TOKENS_PER_BLOCK;
use serde_json::{Value, json};

use crate::load::profile::{Profile, RequestKind};
use crate::load::schedule::Arrival;

/// Size of the text of one block, at the four bytes per token of the token estimate.
const BLOCK_TEXT_BYTES: usize = TOKENS_PER_BLOCK as usize * 4;
/// Bytes that role and separators of the first message add to the prompt text; the shared text is
/// shorter by them, so that it fills whole blocks.
const FIRST_MESSAGE_OVERHEAD_BYTES: usize = "system".len() + 2;

/// Generates a pseudo-random text of `len` letters.
fn text(seed: &str, len: usize) -> String {
    let mut bytes = vec![0; len];
    let mut hasher = blake3::Hasher::new();
    hasher.update(seed.as_bytes());
    hasher.finalize_xof().fill(&mut bytes);
    bytes.iter().map(|b| char::from(b'a' + b % 26)).collect()
}

/// Builds the messages of a chat: the text shared by the customer's prompts, then each turn.
#[must_use]
pub fn prompt_messages(profile: &Profile, arrival: &Arrival) -> Vec<Value> {
    let shared_len = profile.shared_blocks * BLOCK_TEXT_BYTES - FIRST_MESSAGE_OVERHEAD_BYTES;
    let shared_text = text(&format!("list {}", arrival.customer), shared_len);
    let mut messages = vec![json!({"role": "system", "content": shared_text})];
    for (n, len) in arrival.turn_bytes.iter().enumerate() {
        let seed = format!("turn {} {} {n}", arrival.customer, arrival.conversation);
        messages.push(json!({"role": "user", "content": text(&seed, *len)}));
    }
    messages
}

/// Builds the body of a chat request.
#[must_use]
pub fn chat_body(profile: &Profile, arrival: &Arrival) -> Value {
    let tokens = match arrival.kind {
        RequestKind::Turn => profile.turn_tokens,
        _ => 2,
    };
    json!({
        "model": Profile::model_name(arrival.kind),
        "messages": prompt_messages(profile, arrival),
        "max_tokens": tokens,
        "stream": true,
    })
}
