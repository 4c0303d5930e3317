//! HTTP interface of the engine.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use async_io::Timer;
use guavahold::http::{IncomingRequest, ResponseFuture, SseEvent, event_body};
use guavahold::target::{REQUEST_ID_HEADER, RUN_STATE_HEADER, WEIGHTS_HEADER};
use http_types::{Method, Response, StatusCode};
use serde_json::{Value, json};

use crate::engine::job::Job;
use crate::engine::run::RunReader;
use crate::{ActiveFaults, Engine, Faults, Spawner, StandIn, response};

/// Weight version in response headers under [`Faults::other_weights`].
const WRONG_WEIGHTS: &str = "another-version";
/// Request id in response headers under [`Faults::crossed`].
const WRONG_REQUEST_ID: &str = "another-request";
/// Time between two copies of an event under [`Faults::repeat_event`].
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

impl StandIn for Engine {
    fn handle(self: Arc<Self>, request: IncomingRequest, faults: Faults) -> ResponseFuture {
        Box::pin(async move {
            let path = request.req.url().path().to_owned();
            let id = path.strip_prefix("/v1/runs/");
            match (request.req.method(), path.as_str(), id) {
                (Method::Post, "/v1/chat/completions", _) => self.chat(&request, &faults).await,
                (Method::Get, _, Some(id)) => self.resume(&request, id, &faults),
                (Method::Delete, _, Some(id)) => self.cancel(id),
                (Method::Get, "/load", _) => response::json(StatusCode::Ok, &self.reported_load()),
                (Method::Post, "/orders", _) => self.handle_order(&request.body),
                _ => response::message(StatusCode::NotFound, "no such path"),
            }
        })
    }

    fn handle_admin(&self, request: &IncomingRequest) -> Response {
        match request.req.url().path() {
            "/stats" => response::json(StatusCode::Ok, &self.stats()),
            "/leave" => {
                self.start_leaving();
                response::message(StatusCode::Ok, "leaving")
            }
            "/clear" => {
                self.clear_cache();
                response::message(StatusCode::Ok, "cleared")
            }
            _ => response::message(StatusCode::NotFound, "no such path"),
        }
    }

    fn faults(&self) -> &ActiveFaults {
        &self.faults
    }

    fn start(self: Arc<Self>, spawner: Spawner) {
        let mut current = self.spawner.lock().unwrap_or_else(PoisonError::into_inner);
        *current = spawner;
    }
}

impl Engine {
    async fn chat(self: &Arc<Self>, request: &IncomingRequest, faults: &Faults) -> Response {
        let mut res = self.respond_to_chat(request, faults).await;
        if let Some(id) = request.header(REQUEST_ID_HEADER)
            && res.header(REQUEST_ID_HEADER).is_none()
        {
            res.insert_header(REQUEST_ID_HEADER, id);
        }
        res
    }

    async fn respond_to_chat(
        self: &Arc<Self>,
        request: &IncomingRequest,
        faults: &Faults,
    ) -> Response {
        let Some(job) = Job::parse(request, &self.cfg) else {
            return refuse_not_run(StatusCode::BadRequest, "not a chat completion");
        };
        let (loaded, leaving) = self.with_state(|s| {
            let loaded = s.load.weights.contains(&job.weights);
            (loaded, s.load.leaving)
        });
        if !loaded {
            return refuse_not_run(StatusCode::Conflict, "the weight version is not loaded");
        }
        if leaving {
            return refuse_not_run(StatusCode::ServiceUnavailable, "leaving");
        }
        let stream = job.stream;
        let run = self.start_run(job);
        let reader = run.attach_reader();
        if stream {
            return self.stream_events(reader, 0, faults);
        }
        self.respond_whole(&reader, faults).await
    }

    /// Collects the events of a run into one JSON response.
    async fn respond_whole(&self, reader: &RunReader, faults: &Faults) -> Response {
        let run = &reader.0;
        let mut text = String::new();
        let mut usage = Value::Null;
        let mut index = 0;
        while let Some(event) = run.event(index).await {
            let event: Value = serde_json::from_str(&event).unwrap_or_default();
            text.push_str(
                event["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or_default(),
            );
            usage = event.get("usage").cloned().unwrap_or_default();
            index += 1;
        }
        if usage.is_null() {
            return response::message(StatusCode::InternalServerError, "the run was cancelled");
        }
        let message = json!({"role": "assistant", "content": text.trim_end()});
        let body = json!({
            "id": &*run.id,
            "object": "chat.completion",
            "model": &*run.weights,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": usage,
        });
        with_run_headers(response::json(StatusCode::Ok, &body), reader, faults)
    }

    fn resume(self: &Arc<Self>, request: &IncomingRequest, id: &str, faults: &Faults) -> Response {
        let Some(run) = self.with_state(|s| s.runs.get(id).cloned()) else {
            return response::message(StatusCode::NotFound, "no such run");
        };
        let from = query_index(request, "from");
        self.stream_events(run.attach_reader(), from, faults)
    }

    /// Streams the events of a run as server-sent events, starting at index `from`.
    fn stream_events(
        self: &Arc<Self>,
        reader: RunReader,
        from: usize,
        faults: &Faults,
    ) -> Response {
        let (tx, body) = event_body();
        let res = with_run_headers(response::stream("text/event-stream", body), &reader, faults);
        let (this, omit_final) = (self.clone(), faults.omit_final);
        let repeat_event = faults.repeat_event;
        self.spawn(async move {
            let run = &reader.0;
            let mut index = from;
            while let Some(event) = run.event(index).await {
                this.faults.wait_unfrozen().await;
                if !tx.send(&SseEvent::new(index.to_string(), event)).await {
                    return;
                }
                if repeat_event == Some(index) {
                    Timer::after(REPEAT_INTERVAL).await;
                } else {
                    index += 1;
                }
            }
            if !run.is_complete() {
                // Dropping the sender without `finish` aborts the body of a cancelled run.
                return;
            }
            if !omit_final {
                tx.send(&SseEvent::new(None, "[DONE]")).await;
            }
            tx.finish().await;
        });
        res
    }

    fn cancel(&self, id: &str) -> Response {
        match self.with_state(|s| s.runs.get(id).cloned()) {
            Some(run) => {
                run.cancel();
                Response::new(StatusCode::NoContent)
            }
            None => response::message(StatusCode::NotFound, "no such run"),
        }
    }
}

fn query_index(request: &IncomingRequest, name: &str) -> usize {
    let mut pairs = request.req.url().query_pairs();
    let value = pairs.find(|(key, _)| key == name);
    value.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
}

fn refuse_not_run(status: StatusCode, message: &str) -> Response {
    let mut res = response::message(status, message);
    res.insert_header(RUN_STATE_HEADER, "not-run");
    res
}

/// Sets the request id and the weight version headers.
fn with_run_headers(mut res: Response, reader: &RunReader, faults: &Faults) -> Response {
    let run = &reader.0;
    let id = if faults.crossed {
        WRONG_REQUEST_ID
    } else {
        &run.id
    };
    res.insert_header(REQUEST_ID_HEADER, id);
    let weights = if faults.other_weights {
        WRONG_WEIGHTS
    } else {
        &run.weights
    };
    res.insert_header(WEIGHTS_HEADER, weights);
    res
}
