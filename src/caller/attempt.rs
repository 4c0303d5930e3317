//! One attempt at a target.

use std::net::SocketAddr;

use futures_lite::FutureExt;
use http_types::{Method, Request, StatusCode, Url};
use serde_json::Value;

use crate::caller::engine_stream::EngineStream;
use crate::caller::plan::plan_cache;
use crate::caller::usage::count_tokens;
use crate::caller::watchdog::silent_for_good;
use crate::caller::{RunId, Shared, Work, WorkKind};
use crate::clock::coarse_sleep;
use crate::decide::AttemptOutcome;
use crate::http::{Answer, ExchangeError};
use crate::prelude::*;
use crate::target::{RAN_HEADER, REQUEST_ID_HEADER, WEIGHTS_HEADER};

/// Longest accepted plain answer, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// A dispatch to one target.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Number within the request, from one.
    pub number: u32,
    /// Name of the target.
    pub target: Name,
    /// Address of the target.
    pub address: SocketAddr,
    /// Weight version to run; empty for plain services.
    pub weights: Name,
    /// Identity of the run.
    pub run: RunId,
}

/// A plain answer, received whole.
#[derive(Clone, Debug)]
pub(crate) struct WholeAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type.
    pub content_type: Name,
    /// The body.
    pub body: Vec<u8>,
}

/// An attempt whose answer has begun.
pub(crate) enum Started {
    /// A plain answer, whole.
    Whole(WholeAnswer),
    /// A stream whose first event has arrived.
    Stream(Box<EngineStream>),
}

/// Sends the request to the attempt's target and waits for the answer to begin.
pub(crate) async fn start(
    shared: &Arc<Shared>,
    work: &Work,
    attempt: &Attempt,
) -> Result<Started, AttemptOutcome> {
    let span = shared.spans.start(&work.trace, "dispatch");
    let plan = plan_cache(shared, work, attempt).await;
    let req = build_request(work, attempt, plan, &span.context.to_string());
    shared.metrics.attempts.inc();
    let mut guard = CancelGuard::new(shared, work, attempt);
    let started = match &work.kind {
        WorkKind::Chat(chat) if chat.stream => {
            let stream = EngineStream::open(shared, work, attempt, req).await?;
            stream.map_or_else(
                |whole| Ok(Started::Whole(whole)),
                |stream| Ok(Started::Stream(Box::new(stream))),
            )
        }
        _ => receive_whole(shared, work, attempt, req)
            .await
            .map(Started::Whole),
    };
    guard.disarm();
    started
}

async fn receive_whole(
    shared: &Arc<Shared>,
    work: &Work,
    attempt: &Attempt,
    req: Request,
) -> Result<WholeAnswer, AttemptOutcome> {
    let exchange = async {
        let mut answer = send(shared, work, attempt, req).await?;
        check_head(&answer, work, attempt)?;
        let whole = read_whole(&mut answer).await?;
        shared.pool.put(attempt.address, answer);
        if matches!(work.kind, WorkKind::Chat(_)) {
            count_tokens(&shared.metrics, &whole.body);
        }
        Ok(whole)
    };
    let late = async {
        coarse_sleep(work.time_left()).await;
        shared.pool.clear(attempt.address);
        Err(AttemptOutcome::Lost)
    };
    let silent = async {
        Box::pin(silent_for_good(shared, work, attempt)).await;
        Err(AttemptOutcome::Lost)
    };
    exchange.or(silent).or(late).await
}

/// Sends on a new connection when the request must not be repeated, else on a pooled one.
pub(crate) async fn send(
    shared: &Shared,
    work: &Work,
    attempt: &Attempt,
    req: Request,
) -> Result<Answer, AttemptOutcome> {
    let sent = if work.policy.idempotent {
        shared.pool.send(attempt.address, req).await
    } else {
        shared.pool.send_fresh(attempt.address, req).await
    };
    sent.map_err(|err| outcome_of(&err))
}

fn outcome_of(err: &ExchangeError) -> AttemptOutcome {
    if err.handed_over() {
        AttemptOutcome::Lost
    } else {
        AttemptOutcome::NotSent
    }
}

/// Reads a plain answer to its clean end.
pub(crate) async fn read_whole(answer: &mut Answer) -> Result<WholeAnswer, AttemptOutcome> {
    let body = answer.bytes(MAX_ANSWER).await;
    Ok(WholeAnswer {
        status: answer.res.status(),
        content_type: answer
            .header("content-type")
            .unwrap_or("application/octet-stream")
            .into(),
        body: body.map_err(|_| AttemptOutcome::Lost)?,
    })
}

/// Checks that an answer belongs to this attempt and may be relayed.
pub(crate) fn check_head(
    answer: &Answer,
    work: &Work,
    attempt: &Attempt,
) -> Result<(), AttemptOutcome> {
    let chat = matches!(work.kind, WorkKind::Chat(_));
    let status = u16::from(answer.res.status());
    let refused = answer.header(RAN_HEADER) == Some("not-run") && status >= 400;
    match answer.header(REQUEST_ID_HEADER) {
        Some(id) if id == attempt.run.as_str() => {}
        None if !chat || (refused && work.policy.idempotent) => {}
        _ => return Err(AttemptOutcome::Lost),
    }
    if refused {
        let seconds = answer.header("retry-after").and_then(|v| v.parse().ok());
        let retry_after = seconds.map(Duration::from_secs);
        return Err(AttemptOutcome::Refused { retry_after });
    }
    if status >= 500 && work.policy.idempotent {
        return Err(AttemptOutcome::Lost);
    }
    let fits = answer.header(WEIGHTS_HEADER) == Some(&*attempt.weights);
    if chat && (200..300).contains(&status) && !fits {
        return Err(AttemptOutcome::WrongWeights);
    }
    Ok(())
}

fn build_request(
    work: &Work,
    attempt: &Attempt,
    plan: Option<crate::target::KvPlan>,
    traceparent: &str,
) -> Request {
    let mut req = match &work.kind {
        WorkKind::Chat(chat) => {
            let mut fields = chat.fields.clone();
            fields.insert("model".into(), Value::from(&*chat.model));
            fields.insert("priority".into(), work.policy.class.priority().into());
            if !chat.adapter.is_empty() {
                fields.insert("adapter".into(), Value::from(&*chat.adapter));
            }
            if let Some(plan) = plan.and_then(|p| serde_json::to_value(p).ok()) {
                fields.insert("kv".into(), plan);
            }
            let mut req = request(Method::Post, attempt.address, "/v1/chat/completions");
            req.set_body(Value::Object(fields).to_string());
            req.insert_header("content-type", "application/json");
            req.insert_header(WEIGHTS_HEADER, &*attempt.weights);
            req
        }
        WorkKind::Service {
            method,
            path,
            content_type,
            key,
            body,
        } => {
            let mut req = request(*method, attempt.address, path);
            req.set_body(body.as_slice());
            req.remove_header("content-type");
            if let Some(content_type) = content_type {
                req.insert_header("content-type", &**content_type);
            }
            if let Some(key) = key {
                req.insert_header("idempotency-key", &**key);
            }
            req
        }
    };
    req.insert_header(REQUEST_ID_HEADER, attempt.run.as_str());
    req.insert_header("guavahold-customer", &*work.customer);
    req.insert_header("traceparent", traceparent);
    req
}

/// Makes a request to a target; an invalid path becomes the root.
pub(crate) fn request(method: Method, address: SocketAddr, path: &str) -> Request {
    let url = Url::parse(&format!("http://{address}{path}"));
    let url = url.or_else(|_| Url::parse(&format!("http://{address}/")));
    Request::new(
        method,
        url.unwrap_or_else(|_| unreachable!("an address makes a URL")),
    )
}

/// Cancels a chat run whose answer is no longer wanted when it is dropped.
struct CancelGuard {
    shared: Arc<Shared>,
    address: SocketAddr,
    run: RunId,
    armed: bool,
}

impl CancelGuard {
    fn new(shared: &Arc<Shared>, work: &Work, attempt: &Attempt) -> Self {
        Self {
            shared: shared.clone(),
            address: attempt.address,
            run: attempt.run.clone(),
            armed: matches!(work.kind, WorkKind::Chat(_)) && work.policy.idempotent,
        }
    }

    fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let (shared, address) = (self.shared.clone(), self.address);
        let path = format!("/v1/runs/{}", self.run.as_str());
        let cancel = async move {
            let req = request(Method::Delete, address, &path);
            let _ = shared.pool.fetch(address, req, MAX_ANSWER).await;
        };
        self.shared.executor.spawn(cancel).detach();
    }
}
