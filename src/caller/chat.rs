//! Chat requests in the style of `OpenAI`.

use http_types::StatusCode;
use serde_json::{Map, Value};

use crate::http::Problem;
use crate::prelude::*;

/// Separates a message's role from its content in the canonical prompt.
const UNIT: u8 = 0x1f;
/// Ends a message in the canonical prompt.
const RECORD: u8 = 0x1e;
/// Most messages in one request.
const MAX_MESSAGES: usize = 16_384;

/// A chat request whose shape was checked; fields not named here pass through.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// Model.
    pub model: Name,
    /// Adapter named as `model:adapter`; empty when none.
    pub adapter: Name,
    /// Whether the caller wants a stream of events.
    pub stream: bool,
    /// Canonical text of the prompt, from which cache keys derive.
    pub prompt: Vec<u8>,
    /// The request's fields as given.
    pub fields: Map<String, Value>,
}

impl ChatRequest {
    /// Checks a request body.
    ///
    /// # Errors
    /// A 400 problem naming the first field of a wrong shape.
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

/// Joins the messages into one text whose prefixes are those of the conversation.
fn canonical_prompt(fields: &Map<String, Value>) -> Result<Vec<u8>, Problem> {
    let messages = fields.get("messages").and_then(Value::as_array);
    let messages = messages.filter(|m| !m.is_empty() && m.len() <= MAX_MESSAGES);
    let messages = messages.ok_or_else(|| bad_request("messages: expected a list of messages"))?;
    let mut prompt = Vec::new();
    for (n, message) in messages.iter().enumerate() {
        let role = message.get("role").and_then(Value::as_str);
        let role = role.ok_or_else(|| bad_request(format!("messages[{n}].role: missing")))?;
        prompt.extend_from_slice(role.as_bytes());
        prompt.push(UNIT);
        match message.get("content") {
            Some(Value::String(text)) => prompt.extend_from_slice(text.as_bytes()),
            Some(other) => prompt.extend_from_slice(other.to_string().as_bytes()),
            None => {}
        }
        prompt.push(RECORD);
    }
    Ok(prompt)
}
