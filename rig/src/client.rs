//! A caller, for tests and load.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use guavahold::http::{ClientResponse, Connection, EventParser, ExchangeError, SseEvent};
use http_types::{Method, Request, Url};
use serde_json::Value;

/// Longest answer taken, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;
/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(2);

/// One call to be sent.
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

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// HTTP status.
    pub status: u16,
    /// Value of `guavahold-run`, if given.
    pub run: Option<String>,
    /// Value of `Retry-After` in seconds, if given.
    pub retry_after: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
}

impl Whole {
    /// The body as JSON; null when it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Text of a chat completion.
    #[must_use]
    pub fn text(&self) -> String {
        let json = self.json();
        let text = json["choices"][0]["message"]["content"].as_str();
        text.unwrap_or_default().to_owned()
    }
}

impl Call {
    /// Makes a call without headers and body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Makes a chat completion call of one user message.
    #[must_use]
    pub fn chat(token: &str, model: &str, prompt: &str, max_tokens: u32, stream: bool) -> Self {
        let body = serde_json::json!({
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        });
        Self::new(Method::Post, "/v1/chat/completions")
            .token(token)
            .body(body.to_string())
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Names the customer.
    #[must_use]
    pub fn token(self, token: &str) -> Self {
        self.header("authorization", format!("Bearer {token}"))
    }

    /// Names the idempotency key.
    #[must_use]
    pub fn key(self, key: &uuid::Uuid) -> Self {
        self.header("idempotency-key", key.to_string())
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    fn request(&self, addr: SocketAddr) -> Request {
        let url = Url::parse(&format!("http://{addr}{}", self.path));
        let mut req = Request::new(self.method, url.expect("a valid path"));
        req.set_body(self.body.clone());
        req.insert_header("content-type", "application/json");
        for (name, value) in &self.headers {
            req.insert_header(name.as_str(), value.as_str());
        }
        req
    }

    /// Sends the call on a new connection and takes the head of the answer.
    ///
    /// # Errors
    /// Those of [`Connection`].
    pub async fn open(&self, addr: SocketAddr) -> Result<ClientResponse, ExchangeError> {
        let conn = Connection::open(addr, CONNECT).await?;
        conn.send(self.request(addr)).await
    }

    /// Sends the call and takes the whole answer.
    ///
    /// # Errors
    /// Those of [`Connection`] and of a body cut short.
    pub async fn send(&self, addr: SocketAddr) -> Result<Whole, ExchangeError> {
        let mut answer = self.open(addr).await?;
        let body = answer.bytes(MAX_ANSWER).await?;
        let retry_after = answer.header("retry-after").and_then(|v| v.parse().ok());
        Ok(Whole {
            status: answer.res.status().into(),
            run: answer.header("guavahold-run").map(str::to_owned),
            retry_after,
            body,
        })
    }

    /// Sends a streamed call.
    ///
    /// # Errors
    /// Those of [`Connection`].
    pub async fn stream(&self, addr: SocketAddr) -> Result<Events, ExchangeError> {
        let answer = self.open(addr).await?;
        Ok(Events {
            answer,
            parser: EventParser::default(),
            queue: VecDeque::new(),
        })
    }
}

/// Events of a streamed answer.
#[derive(Debug)]
pub struct Events {
    answer: ClientResponse,
    parser: EventParser,
    queue: VecDeque<SseEvent>,
}

impl Events {
    /// HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.answer.res.status().into()
    }

    /// Value of a header, if given.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.answer.header(name)
    }

    /// The next event; `None` at the clean end of the body.
    ///
    /// # Errors
    /// When the body is cut short.
    pub async fn next(&mut self) -> Result<Option<SseEvent>, ExchangeError> {
        let mut buf = vec![0; 4096];
        loop {
            if let Some(event) = self.queue.pop_front() {
                return Ok(Some(event));
            }
            let n = self.answer.read(&mut buf).await?;
            if n == 0 {
                return Ok(None);
            }
            let mut events = Vec::new();
            self.parser.feed(&buf[..n], &mut events);
            self.queue.extend(events);
        }
    }

    /// Takes all events to the clean end; the text of their deltas and whether `[DONE]` came last.
    ///
    /// # Errors
    /// When the body is cut short.
    pub async fn rest(&mut self) -> Result<Streamed, ExchangeError> {
        let mut streamed = Streamed::default();
        while let Some(event) = self.next().await? {
            streamed.take(event);
        }
        Ok(streamed)
    }
}

/// What a stream has brought so far.
#[derive(Clone, Debug, Default)]
pub struct Streamed {
    /// Text of the deltas.
    pub text: String,
    /// Whether the final event came.
    pub done: bool,
    /// Id of the last event.
    pub last_id: Option<String>,
    /// Events, the final one included.
    pub events: usize,
}

impl Streamed {
    /// Adds one event.
    pub fn take(&mut self, event: SseEvent) {
        self.events += 1;
        self.done = event.data == "[DONE]";
        self.last_id = event.id.or(self.last_id.take());
        let json: Value = serde_json::from_str(&event.data).unwrap_or_default();
        let text = json["choices"][0]["delta"]["content"].as_str();
        self.text.push_str(text.unwrap_or_default());
    }
}
