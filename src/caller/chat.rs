//! Chat requests in the format of the `OpenAI` API.

use http_types::StatusCode;
use serde_json::{Map, Value};

use crate::http::Problem;
use crate::prelude::*;

/// Separates a message's role from its content in the canonical prompt.
const UNIT_SEPARATOR: u8 = 0x1f;
/// Ends a message in the canonical prompt.
const RECORD_SEPARATOR: u8 = 0x1e;
/// Largest number of messages in one request.
const MAX_MESSAGES: usize = 16_384;

/// A validated chat request; fields that are not named here are passed on unchanged.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: Name,
    /// Name of the adapter, given as `model:adapter`; empty if none was given.
    pub adapter: Name,
    /// Whether the response is streamed as events.
    pub stream: bool,
    /// Canonical text of the prompt, from which the keys of its blocks are derived.
    pub prompt: Vec<u8>,
    /// All fields of the request, as received.
    pub fields: Map<String, Value>,
}

impl ChatRequest {
    /// Parses and validates a request body.
    ///
    /// # Errors
    /// A 400 problem that names the first invalid field.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        let json: Value = serde_json::from_slice(body)
            .map_err(|err| bad_request(format!("the body is not JSON: {err}")))?;
        let Value::Object(fields) = json else {
            return Err(bad_request("the body is not a JSON object"));
        };
        let model = fields.get("model").and_then(Value::as_str);
        let model = model.filter(|m| !m.is_empty());
        let model = model.ok_or_else(|| bad_request("model: expected a name"))?;
        let (model, adapter) = model.split_once(':').unwrap_or((model, ""));
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(bad_request("stream: expected true or false")),
        };
        Ok(Self {
            model: model.into(),
            adapter: adapter.into(),
            stream,
            prompt: canonical_prompt(&fields)?,
            fields,
        })
    }
}

fn bad_request(detail: impl Into<String>) -> Problem {
    Problem::not_run(StatusCode::BadRequest, "bad-request", detail)
}

/// Joins the messages into one text. A conversation that goes on extends the text, so that requests
/// of one conversation share its prefix.
fn canonical_prompt(fields: &Map<String, Value>) -> Result<Vec<u8>, Problem> {
    let messages = fields.get("messages").and_then(Value::as_array);
    let messages = messages.filter(|m| !m.is_empty() && m.len() <= MAX_MESSAGES);
    let messages = messages.ok_or_else(|| bad_request("messages: expected a list of messages"))?;
    let mut prompt = Vec::new();
    for (n, message) in messages.iter().enumerate() {
        let role = message.get("role").and_then(Value::as_str);
        let role = role.ok_or_else(|| bad_request(format!("messages[{n}].role: missing")))?;
        prompt.extend_from_slice(role.as_bytes());
        prompt.push(UNIT_SEPARATOR);
        match message.get("content") {
            Some(Value::String(text)) => prompt.extend_from_slice(text.as_bytes()),
            Some(other) => prompt.extend_from_slice(other.to_string().as_bytes()),
            None => {}
        }
        prompt.push(RECORD_SEPARATOR);
    }
    Ok(prompt)
}
