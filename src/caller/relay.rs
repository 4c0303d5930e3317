//! Relays the events of a run to its caller.

use http_types::{Response, StatusCode};

use crate::caller::engine_stream::{EngineStream, StreamError};
use crate::caller::usage::count_tokens;
use crate::caller::{EventId, Shared};
use crate::claim::{Claim, ClaimOutcome};
use crate::http::{EventSender, Problem, RunState, SseEvent, event_body};
use crate::prelude::*;
use crate::scheduler::AttemptOutcome;
use crate::shared_scheduler::RequestHandle;
use crate::target::{REQUEST_ID_HEADER, WEIGHTS_HEADER};
use crate::telemetry::TraceContext;

/// Delay after which a caller should retry when its stream broke off.
const BROKEN_STREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// One relayed stream.
pub(crate) struct Relay {
    /// State shared by all requests.
    pub shared: Arc<Shared>,
    /// Events of the run, from the target.
    pub stream: EngineStream,
    /// Any event id of the run; each relayed event gets this id with its own number.
    pub id: EventId,
    /// Trace of the request.
    pub trace: TraceContext,
    /// Handle of the request in the scheduler and number of the attempt; `None` if the caller
    /// resumed the stream.
    pub handle: Option<(RequestHandle, u32)>,
    /// Claim to settle when the stream ends; `None` for idempotent requests.
    pub claim: Option<Claim>,
}

impl Relay {
    /// Starts relaying and returns the response with its streamed body.
    pub(crate) fn respond(self) -> Response {
        let (tx, body) = event_body();
        let mut res = Response::new(StatusCode::Ok);
        res.set_body(body);
        res.insert_header("content-type", "text/event-stream");
        res.insert_header("cache-control", "no-store");
        res.insert_header(REQUEST_ID_HEADER, self.id.run.as_str());
        res.insert_header(WEIGHTS_HEADER, &*self.id.weights);
        let shared = self.shared.clone();
        shared.executor.spawn(self.run(tx)).detach();
        res
    }

    async fn run(mut self, tx: EventSender) {
        let _span = self.shared.spans.start(&self.trace, "relay");
        let mut tx = Some(tx);
        let end = loop {
            match self.stream.next().await {
                Ok(Some((number, event))) => {
                    count_tokens(&self.shared.metrics, event.data.as_bytes());
                    let id = self.id.with_number(number).to_string();
                    let event = SseEvent {
                        id: Some(id),
                        ..event
                    };
                    if let Some(sender) = &tx
                        && !sender.send(&event).await
                    {
                        tx = None;
                    }
                    // With a claim, the stream is read to its end, which is the claim's outcome.
                    if tx.is_none() && self.claim.is_none() {
                        self.shared
                            .metrics
                            .requests
                            .with_label_values(&["left"])
                            .inc();
                        return;
                    }
                }
                Ok(None) => break Ok(()),
                Err(err) => break Err(err),
            }
        };
        self.end(end, tx).await;
    }

    async fn end(self, end: Result<(), StreamError>, tx: Option<EventSender>) {
        let (label, outcome) = match end {
            Ok(()) => ("done", AttemptOutcome::Done),
            Err(_) => ("cut-short", AttemptOutcome::CutShort),
        };
        self.shared
            .metrics
            .requests
            .with_label_values(&[label])
            .inc();
        if let Some((handle, attempt)) = self.handle {
            handle.report_end(attempt, outcome);
            handle.finish();
        }
        match (end, tx) {
            (Ok(()), Some(tx)) => tx.finish().await,
            (Err(err), Some(tx)) => drop(tx.send(&error_event(err)).await),
            (_, None) => {}
        }
        if let Some(claim) = self.claim {
            let outcome = match end {
                Ok(()) => ClaimOutcome::Answered {
                    status: StatusCode::Ok.into(),
                    content_type: "text/event-stream".into(),
                    body: None,
                },
                Err(_) => ClaimOutcome::Unknown,
            };
            self.shared.claims.settle(claim, outcome).await;
        }
    }
}

/// Error event at the end of a broken stream. The body is then cut off without its regular end, so
/// that no client mistakes it for a complete one.
fn error_event(err: StreamError) -> SseEvent {
    let detail = match err {
        StreamError::Gone => "the target lost the run",
        StreamError::Unreachable => "the target was not reached again",
        StreamError::Stalled => "the run made no progress",
    };
    let problem = Problem::not_run(StatusCode::BadGateway, "run-broken", detail)
        .with_run(RunState::Ran)
        .with_retry_after(BROKEN_STREAM_RETRY_AFTER);
    SseEvent {
        id: None,
        event: Some("error".into()),
        data: problem.to_json(),
    }
}
