//! HTTP client for tests and measurements; every call opens a new connection.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use guavahold::http::{ClientResponse, Connection, EventParser, ExchangeError, SseEvent};
use http_types::{Method, Request, Url};
use serde_json::Value;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A request that can be sent to any address, more than once.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `guavahold-run`, if given.
    pub run_state: Option<String>,
    /// Value of `Retry-After` in seconds, if given.
    pub retry_after: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
}

impl FullResponse {
    /// The body as JSON; null if it is not JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Text of a chat completion; empty for other bodies.
    #[must_use]
    pub fn text(&self) -> String {
        let json = self.json();
        let text = json["choices"][0]["message"]["content"].as_str();
        text.unwrap_or_default().to_owned()
    }
}

impl Call {
    /// Creates a call without headers and body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Creates a chat completion call with one user message.
    #[must_use]
    pub fn chat(token: &str, model: &str, prompt: &str, max_tokens: u32, stream: bool) -> Self {
        let body = serde_json::json!({
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        });
        Self::new(Method::Post, "/v1/chat/completions")
            .bearer_token(token)
            .body(body.to_string())
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Sets the bearer token, which identifies the customer.
    #[must_use]
    pub fn bearer_token(self, token: &str) -> Self {
        self.header("authorization", format!("Bearer {token}"))
    }

    /// Sets the `Idempotency-Key` header.
    #[must_use]
    pub fn idempotency_key(self, key: &uuid::Uuid) -> Self {
        self.header("idempotency-key", key.to_string())
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    fn request(&self, address: SocketAddr) -> Request {
        let url = Url::parse(&format!("http://{address}{}", self.path));
        let mut req = Request::new(self.method, url.expect("a valid path"));
        req.set_body(self.body.clone());
        req.insert_header("content-type", "application/json");
        for (name, value) in &self.headers {
            req.insert_header(name.as_str(), value.as_str());
        }
        req
    }

    /// Sends the call and reads the head of the response.
    ///
    /// # Errors
    /// Those of [`Connection`].
    pub async fn open(&self, address: SocketAddr) -> Result<ClientResponse, ExchangeError> {
        let conn = Connection::open(address, CONNECT_TIMEOUT).await?;
        conn.send(self.request(address)).await
    }

    /// Sends the call and reads the complete response.
    ///
    /// # Errors
    /// Those of [`Connection`] and of a body cut short.
    pub async fn send(&self, address: SocketAddr) -> Result<FullResponse, ExchangeError> {
        let mut response = self.open(address).await?;
        let body = response.bytes(MAX_RESPONSE_BYTES).await?;
        let retry_after = response.header("retry-after").and_then(|v| v.parse().ok());
        Ok(FullResponse {
            status: response.res.status().into(),
            run_state: response.header("guavahold-run").map(str::to_owned),
            retry_after,
            body,
        })
    }

    /// Sends the call and reads the response as server-sent events.
    ///
    /// # Errors
    /// Those of [`Connection`].
    pub async fn stream(&self, address: SocketAddr) -> Result<EventStream, ExchangeError> {
        let response = self.open(address).await?;
        Ok(EventStream {
            response,
            parser: EventParser::default(),
            parsed_events: VecDeque::new(),
        })
    }
}

/// Server-sent events of a response.
#[derive(Debug)]
pub struct EventStream {
    response: ClientResponse,
    parser: EventParser,
    parsed_events: VecDeque<SseEvent>,
}

impl EventStream {
    /// HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.response.res.status().into()
    }

    /// Value of a header, if given.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.header(name)
    }

    /// Reads the next event; `None` at the end of a complete body.
    ///
    /// # Errors
    /// When the body is cut short.
    pub async fn next(&mut self) -> Result<Option<SseEvent>, ExchangeError> {
        let mut buf = vec![0; 4096];
        loop {
            if let Some(event) = self.parsed_events.pop_front() {
                return Ok(Some(event));
            }
            let n = self.response.read(&mut buf).await?;
            if n == 0 {
                return Ok(None);
            }
            let mut events = Vec::new();
            self.parser.feed(&buf[..n], &mut events);
            self.parsed_events.extend(events);
        }
    }

    /// Reads all remaining events to the end of a complete body.
    ///
    /// # Errors
    /// When the body is cut short.
    pub async fn read_to_end(&mut self) -> Result<StreamedText, ExchangeError> {
        let mut streamed = StreamedText::default();
        while let Some(event) = self.next().await? {
            streamed.add_event(event);
        }
        Ok(streamed)
    }
}

/// Text and state of a streamed chat completion, collected from its events.
#[derive(Clone, Debug, Default)]
pub struct StreamedText {
    /// Text of all deltas.
    pub text: String,
    /// Whether the last event was the final event `[DONE]`.
    pub done: bool,
    /// Id of the last event.
    pub last_id: Option<String>,
    /// Number of events, including the final one.
    pub events: usize,
}

impl StreamedText {
    /// Adds one event.
    pub fn add_event(&mut self, event: SseEvent) {
        self.events += 1;
        self.done = event.data == "[DONE]";
        self.last_id = event.id.or(self.last_id.take());
        let json: Value = serde_json::from_str(&event.data).unwrap_or_default();
        let text = json["choices"][0]["delta"]["content"].as_str();
        self.text.push_str(text.unwrap_or_default());
    }
}
