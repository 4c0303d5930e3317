//! Constructors for HTTP responses.

use http_types::{Body, Response, StatusCode};
use serde::Serialize;

/// Builds a response with `value` as its JSON body.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let text = serde_json::to_string(value).unwrap_or_default();
    let mut res = Response::new(status);
    res.set_body(text);
    res.insert_header("content-type", "application/json");
    res
}

/// Builds a response with the JSON body `{"message": …}`.
#[must_use]
pub fn message(status: StatusCode, message: &str) -> Response {
    json(status, &serde_json::json!({ "message": message }))
}

/// Builds a 200 response with a streamed body.
#[must_use]
pub fn stream(content_type: &str, body: Body) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(body);
    res.insert_header("content-type", content_type);
    res
}
