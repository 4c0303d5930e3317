//! Client that sends requests of the load and checks the responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use guavahold::http::{ClientResponse, EventParser, ExchangeError, Pool};
use http_types::{Method, Request, Url};
use serde_json::Value;

use crate::engine::{prompt_text, response_words};

/// Time after which a caller gives up a request.
const CALLER_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum size of a response that is not streamed.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response arrived; the text of a streamed one is the expected one.
    Done,
    /// The request was refused.
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Title of the problem in the response body.
        code: String,
        /// Time after which the caller may retry.
        retry_after: Option<Duration>,
    },
    /// The connection failed or the response was incomplete; gives the reason.
    Broken(String),
    /// The text of a streamed response is not the one that belongs to the request's prompt.
    Wrong,
}

/// Measurement of one request; its durations count from the intended start, those of a retry from
/// the start of the retry.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the request in the schedule.
    pub arrival_index: usize,
    /// Whether this is the retry of a refused request.
    pub is_retry: bool,
    /// Intended start of the first attempt, from the start of the run.
    pub intended_start: Duration,
    /// Time to the first token, or to the response head if it is not streamed.
    pub first_token: Option<Duration>,
    /// Time to the end of the response.
    pub time_to_end: Duration,
    /// How the request ended.
    pub outcome: Outcome,
}

/// A chat or service request of the load.
#[derive(Clone, Debug)]
pub struct LoadRequest {
    /// Address of the entry or target.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// JSON body; null for none.
    pub body: Value,
}

/// Client with pooled connections.
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
    /// Sends `request` and reads the response.
    ///
    /// Returns the time from `intended_start` to the first token, and the outcome.
    pub async fn send(
        &self,
        request: &LoadRequest,
        intended_start: Instant,
    ) -> (Option<Duration>, Outcome) {
        let sent = async { self.send_request(request, intended_start).await };
        let timeout = async {
            Timer::after(CALLER_TIMEOUT).await;
            (None, Outcome::Broken("no answer".into()))
        };
        sent.or(timeout).await
    }

    async fn send_request(
        &self,
        request: &LoadRequest,
        intended_start: Instant,
    ) -> (Option<Duration>, Outcome) {
        let response = match self
            .pool
            .send(request.address, build_request(request))
            .await
        {
            Ok(response) => response,
            Err(err) => return (None, Outcome::Broken(err.to_string())),
        };
        let status = u16::from(response.res.status());
        let streamed = response
            .header("content-type")
            .is_some_and(|t| t.starts_with("text/event-stream"));
        if status == 200 && streamed {
            return self.read_stream(request, response, intended_start).await;
        }
        let first_token = intended_start.elapsed();
        match self.read_plain(request, response).await {
            Err(err) => (None, Outcome::Broken(err.to_string())),
            Ok(_) if status == 200 => (Some(first_token), Outcome::Done),
            Ok(body) => (None, refused_outcome(status, &body)),
        }
    }

    async fn read_plain(
        &self,
        request: &LoadRequest,
        mut response: ClientResponse,
    ) -> Result<Value, ExchangeError> {
        let body = response.bytes(MAX_RESPONSE_BYTES).await?;
        self.pool.put(request.address, response);
        Ok(serde_json::from_slice(&body).unwrap_or_default())
    }

    async fn read_stream(
        &self,
        request: &LoadRequest,
        mut response: ClientResponse,
        intended_start: Instant,
    ) -> (Option<Duration>, Outcome) {
        let (mut parser, mut events, mut first_token) = (EventParser::default(), Vec::new(), None);
        let mut buf = vec![0; 16 * 1024];
        loop {
            match response.read(&mut buf).await {
                Ok(0) => break,
                Ok(n) => parser.feed(&buf[..n], &mut events),
                Err(err) => return (first_token, Outcome::Broken(err.to_string())),
            }
            if first_token.is_none() && !events.is_empty() {
                first_token = Some(intended_start.elapsed());
            }
        }
        self.pool.put(request.address, response);
        let mut text = String::new();
        let mut complete = false;
        for event in &events {
            complete |= event.data == "[DONE]";
            let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
            let word = &chunk["choices"][0]["delta"]["content"];
            text.push_str(word.as_str().unwrap_or_default());
        }
        if !complete {
            let last = events.last().map(|e| e.data.clone());
            return (first_token, Outcome::Broken(last.unwrap_or_default()));
        }
        let tokens = request.body["max_tokens"].as_u64().unwrap_or(0);
        let tokens = u32::try_from(tokens).unwrap_or(0);
        let expected = response_words("w1", &prompt_text(&request.body), tokens).concat();
        let outcome = if text == expected {
            Outcome::Done
        } else {
            Outcome::Wrong
        };
        (first_token, outcome)
    }
}

fn refused_outcome(status: u16, body: &Value) -> Outcome {
    let retry_after = body["retry_after_ms"].as_u64().map(Duration::from_millis);
    Outcome::Refused {
        status,
        code: body["title"].as_str().unwrap_or_default().to_owned(),
        retry_after,
    }
}

fn build_request(request: &LoadRequest) -> Request {
    let text = format!("http://{}{}", request.address, request.path);
    let url = Url::parse(&text).unwrap_or_else(|_| unreachable!("an address makes a URL"));
    let mut req = Request::new(request.method, url);
    for (name, value) in &request.headers {
        req.insert_header(*name, value.as_str());
    }
    if !request.body.is_null() {
        req.set_body(request.body.to_string());
        req.insert_header("content-type", "application/json");
    }
    req
}
