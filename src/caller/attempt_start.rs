//! Starts an attempt: sends the request to a target and waits until the response begins.

use std::net::SocketAddr;

use futures_lite::FutureExt;
use http_types::{Method, Request};
use serde_json::Value;

use crate::caller::attempt::{Attempt, FullResponse};
use crate::caller::engine_stream::EngineStream;
use crate::caller::prompt_blocks::prompt_blocks;
use crate::caller::target_request::{
    MAX_RESPONSE_BYTES, check_response_head, read_response, send, target_request,
};
use crate::caller::usage::count_tokens;
use crate::caller::watchdog::wait_for_lost_connection;
use crate::caller::{CallerRequest, RequestKind, RunId, Shared};
use crate::clock::coarse_sleep;
use crate::prelude::*;
use crate::scheduler::AttemptOutcome;
use crate::target::{PromptBlocks, REQUEST_ID_HEADER, WEIGHTS_HEADER};

/// Response of an attempt, once it has begun.
pub(crate) enum StartedResponse {
    /// A response without streaming, received in full.
    Full(FullResponse),
    /// A stream whose first event has arrived.
    Stream(Box<EngineStream>),
}

/// Sends the request to the attempt's target and waits for the response to begin.
///
/// A response without streaming is received in full.
pub(crate) async fn start_attempt(
    shared: &Arc<Shared>,
    request: &CallerRequest,
    attempt: &Attempt,
) -> Result<StartedResponse, AttemptOutcome> {
    let span = shared.spans.start(&request.trace, "dispatch");
    let blocks = prompt_blocks(shared, request, attempt);
    let req = build_request(request, attempt, blocks, &span.context.to_string());
    let req = req.ok_or(AttemptOutcome::Withheld)?;
    shared.metrics.attempts.inc();
    let mut guard = CancelGuard::new(shared, request, attempt);
    let started = match &request.kind {
        RequestKind::Chat(chat) if chat.stream => {
            let stream = EngineStream::open(shared, request, attempt, req).await?;
            stream.map_or_else(
                |full| Ok(StartedResponse::Full(full)),
                |stream| Ok(StartedResponse::Stream(Box::new(stream))),
            )
        }
        _ => receive_full(shared, request, attempt, req)
            .await
            .map(StartedResponse::Full),
    };
    guard.disarm();
    started
}

async fn receive_full(
    shared: &Arc<Shared>,
    request: &CallerRequest,
    attempt: &Attempt,
    req: Request,
) -> Result<FullResponse, AttemptOutcome> {
    let received = async {
        let mut response = send(shared, request, attempt, req).await?;
        check_response_head(&response, request, attempt)?;
        let full = read_response(&mut response).await?;
        shared.pool.put(attempt.address, response);
        if matches!(request.kind, RequestKind::Chat(_)) {
            count_tokens(&shared.metrics, &full.body);
        }
        Ok(full)
    };
    let deadline = async {
        coarse_sleep(request.time_left()).await;
        shared.pool.clear(attempt.address);
        Err(AttemptOutcome::Lost)
    };
    let lost_connection = async {
        Box::pin(wait_for_lost_connection(shared, request, attempt)).await;
        Err(AttemptOutcome::Lost)
    };
    received.or(lost_connection).or(deadline).await
}

/// Makes the request to the attempt's target; `None` if the path is not valid in a URL.
fn build_request(
    request: &CallerRequest,
    attempt: &Attempt,
    blocks: Option<PromptBlocks>,
    traceparent: &str,
) -> Option<Request> {
    let mut req = match &request.kind {
        RequestKind::Chat(chat) => {
            let mut fields = chat.fields.clone();
            fields.insert("model".into(), Value::from(&*chat.model));
            fields.insert("priority".into(), request.policy.class.priority().into());
            if !chat.adapter.is_empty() {
                fields.insert("adapter".into(), Value::from(&*chat.adapter));
            }
            if let Some(blocks) = blocks.and_then(|b| serde_json::to_value(b).ok()) {
                fields.insert("kv".into(), blocks);
            }
            let mut req = target_request(Method::Post, attempt.address, "/v1/chat/completions")?;
            req.set_body(Value::Object(fields).to_string());
            req.insert_header("content-type", "application/json");
            req.insert_header(WEIGHTS_HEADER, &*attempt.weights);
            req
        }
        RequestKind::Service {
            method,
            path,
            content_type,
            key,
            body,
        } => {
            let mut req = target_request(*method, attempt.address, path)?;
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
    req.insert_header("guavahold-customer", &*request.customer);
    req.insert_header("traceparent", traceparent);
    Some(req)
}

/// Cancels the run at the target if dropped before [`Self::disarm`], as when the attempt is
/// abandoned. Only runs of idempotent chats are cancelled.
struct CancelGuard {
    shared: Arc<Shared>,
    address: SocketAddr,
    run: RunId,
    armed: bool,
}

impl CancelGuard {
    fn new(shared: &Arc<Shared>, request: &CallerRequest, attempt: &Attempt) -> Self {
        Self {
            shared: shared.clone(),
            address: attempt.address,
            run: attempt.run.clone(),
            armed: matches!(request.kind, RequestKind::Chat(_)) && request.policy.idempotent,
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
            if let Some(req) = target_request(Method::Delete, address, &path) {
                let _ = shared.pool.fetch(address, req, MAX_RESPONSE_BYTES).await;
            }
        };
        self.shared.executor.spawn(cancel).detach();
    }
}
