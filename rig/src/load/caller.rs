//! Sends one request as its caller does and notes what came back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use guavahold::http::{ClientResponse, EventParser, ExchangeError, Pool};
use http_types::{Method, Request, Url};
use serde_json::Value;

use crate::engine::{prompt_text, response_words};

/// Longest time a caller waits for anything.
const PATIENCE: Duration = Duration::from_mins(1);
/// Longest answer that is not streamed, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The whole, right answer arrived.
    Done,
    /// The request was refused.
    Refused {
        /// HTTP status.
        status: u16,
        /// Code of the problem.
        code: String,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// The connection or the answer broke.
    Broken(String),
    /// An answer arrived that is not the one to this request.
    Wrong,
}

/// What a caller saw of one request; times count from the intended start.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Number in the schedule.
    pub number: usize,
    /// Whether it is the repeat of a refused request.
    pub repeat: bool,
    /// Intended start.
    pub at: Duration,
    /// Time to the first token, or to the answer of a plain call.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub end: Duration,
    /// How it ended.
    pub fate: Fate,
}

/// A chat or plain call ready to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the entry or target.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body; null for none.
    pub body: Value,
}

/// Sends requests on pooled connections.
#[derive(Clone, Debug)]
pub struct Caller {
    pool: Arc<Pool>,
}

impl Default for Caller {
    fn default() -> Self {
        Self {
            pool: Arc::new(Pool::new(Duration::from_secs(2))),
        }
    }
}

impl Caller {
    /// Sends `call`; `due` is its intended start.
    ///
    /// Returns the time to the first token, counted from `due`, and the fate.
    pub async fn send(&self, call: &Call, due: Instant) -> (Option<Duration>, Fate) {
        let sent = async { self.exchange(call, due).await };
        let late = async {
            Timer::after(PATIENCE).await;
            (None, Fate::Broken("no answer".into()))
        };
        sent.or(late).await
    }

    async fn exchange(&self, call: &Call, due: Instant) -> (Option<Duration>, Fate) {
        let answer = match self.pool.send(call.address, request(call)).await {
            Ok(answer) => answer,
            Err(err) => return (None, Fate::Broken(err.to_string())),
        };
        let status = u16::from(answer.res.status());
        let streamed = answer
            .header("content-type")
            .is_some_and(|t| t.starts_with("text/event-stream"));
        if status == 200 && streamed {
            return self.read_stream(call, answer, due).await;
        }
        let first = due.elapsed();
        match self.read_plain(call, answer).await {
            Err(err) => (None, Fate::Broken(err.to_string())),
            Ok(_) if status == 200 => (Some(first), Fate::Done),
            Ok(body) => (None, refusal(status, &body)),
        }
    }

    async fn read_plain(
        &self,
        call: &Call,
        mut answer: ClientResponse,
    ) -> Result<Value, ExchangeError> {
        let body = answer.bytes(MAX_ANSWER).await?;
        self.pool.put(call.address, answer);
        Ok(serde_json::from_slice(&body).unwrap_or_default())
    }

    async fn read_stream(
        &self,
        call: &Call,
        mut answer: ClientResponse,
        due: Instant,
    ) -> (Option<Duration>, Fate) {
        let (mut parser, mut events, mut first) = (EventParser::default(), Vec::new(), None);
        let mut buf = vec![0; 16 * 1024];
        loop {
            match answer.read(&mut buf).await {
                Ok(0) => break,
                Ok(n) => parser.feed(&buf[..n], &mut events),
                Err(err) => return (first, Fate::Broken(err.to_string())),
            }
            if first.is_none() && !events.is_empty() {
                first = Some(due.elapsed());
            }
        }
        self.pool.put(call.address, answer);
        let mut text = String::new();
        let mut whole = false;
        for event in &events {
            whole |= event.data == "[DONE]";
            let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
            let word = &chunk["choices"][0]["delta"]["content"];
            text.push_str(word.as_str().unwrap_or_default());
        }
        if !whole {
            let last = events.last().map(|e| e.data.clone());
            return (first, Fate::Broken(last.unwrap_or_default()));
        }
        let tokens = call.body["max_tokens"].as_u64().unwrap_or(0);
        let tokens = u32::try_from(tokens).unwrap_or(0);
        let expected = response_words("w1", &prompt_text(&call.body), tokens).concat();
        let fate = if text == expected {
            Fate::Done
        } else {
            Fate::Wrong
        };
        (first, fate)
    }
}

fn refusal(status: u16, body: &Value) -> Fate {
    let after = body["retry_after_ms"].as_u64().map(Duration::from_millis);
    Fate::Refused {
        status,
        code: body["title"].as_str().unwrap_or_default().to_owned(),
        retry_after: after,
    }
}

fn request(call: &Call) -> Request {
    let text = format!("http://{}{}", call.address, call.path);
    let url = Url::parse(&text).unwrap_or_else(|_| unreachable!("an address makes a URL"));
    let mut req = Request::new(call.method, url);
    for (name, value) in &call.headers {
        req.insert_header(*name, value.as_str());
    }
    if !call.body.is_null() {
        req.set_body(call.body.to_string());
        req.insert_header("content-type", "application/json");
    }
    req
}
