//! Sends a request to a target and waits until its answer begins.

use std::net::SocketAddr;

use futures_lite::FutureExt;
use http_types::{Method, Request};
use serde_json::Value;

use crate::caller::attempt::{Attempt, WholeAnswer};
use crate::caller::blocks::prompt_blocks;
use crate::caller::engine_stream::EngineStream;
use crate::caller::exchange::{MAX_ANSWER, check_head, read_whole, request, send};
use crate::caller::usage::count_tokens;
use crate::caller::watchdog::silent_for_good;
use crate::caller::{RunId, Shared, Work, WorkKind};
use crate::clock::coarse_sleep;
use crate::prelude::*;
use crate::scheduler::AttemptOutcome;
use crate::target::{PromptBlocks, REQUEST_ID_HEADER, WEIGHTS_HEADER};

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
    let blocks = prompt_blocks(shared, work, attempt);
    let req = build_request(work, attempt, blocks, &span.context.to_string());
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

fn build_request(
    work: &Work,
    attempt: &Attempt,
    blocks: Option<PromptBlocks>,
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
            if let Some(blocks) = blocks.and_then(|b| serde_json::to_value(b).ok()) {
                fields.insert("kv".into(), blocks);
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
