//! The engine's HTTP interface.

use std::sync::{Arc, PoisonError};

use guavahold::http::{IncomingRequest, ResponseFuture, SseEvent, event_body};
use guavahold::target::{REQUEST_ID_HEADER, RUN_STATE_HEADER, WEIGHTS_HEADER};
use http_types::{Method, Response, StatusCode};
use serde_json::{Value, json};

use crate::engine::job::Job;
use crate::engine::run::Follower;
use crate::{Engine, FaultBox, Faults, Spawner, StandIn, reply};

/// Weight version of an answer of another version.
const OTHER_WEIGHTS: &str = "another-version";
/// Request id of a crossed answer.
const OTHER_ID: &str = "another-request";

impl StandIn for Engine {
    fn serve(self: Arc<Self>, exchange: IncomingRequest, faults: Faults) -> ResponseFuture {
        Box::pin(async move {
            let path = exchange.req.url().path().to_owned();
            let id = path.strip_prefix("/v1/runs/");
            match (exchange.req.method(), path.as_str(), id) {
                (Method::Post, "/v1/chat/completions", _) => self.chat(&exchange, &faults).await,
                (Method::Get, _, Some(id)) => self.resume(&exchange, id, &faults),
                (Method::Delete, _, Some(id)) => self.cancel(id),
                (Method::Get, "/load", _) => reply::json(StatusCode::Ok, &self.lagged_load()),
                (Method::Post, "/orders", _) => self.order(&exchange.body),
                _ => reply::message(StatusCode::NotFound, "no such path"),
            }
        })
    }

    fn administer(&self, exchange: &IncomingRequest) -> Response {
        match exchange.req.url().path() {
            "/stats" => reply::json(StatusCode::Ok, &self.stats()),
            "/leave" => {
                self.leave();
                reply::message(StatusCode::Ok, "leaving")
            }
            "/clear" => {
                self.clear_cache();
                reply::message(StatusCode::Ok, "cleared")
            }
            _ => reply::message(StatusCode::NotFound, "no such path"),
        }
    }

    fn faults(&self) -> &FaultBox {
        &self.faults
    }

    fn start(self: Arc<Self>, spawner: Spawner) {
        let mut own = self.spawner.lock().unwrap_or_else(PoisonError::into_inner);
        *own = spawner;
    }
}

impl Engine {
    async fn chat(self: &Arc<Self>, exchange: &IncomingRequest, faults: &Faults) -> Response {
        let mut res = self.answer_chat(exchange, faults).await;
        if let Some(id) = exchange.header(REQUEST_ID_HEADER)
            && res.header(REQUEST_ID_HEADER).is_none()
        {
            res.insert_header(REQUEST_ID_HEADER, id);
        }
        res
    }

    async fn answer_chat(
        self: &Arc<Self>,
        exchange: &IncomingRequest,
        faults: &Faults,
    ) -> Response {
        let Some(job) = Job::parse(exchange, &self.cfg) else {
            return not_run(StatusCode::BadRequest, "not a chat completion");
        };
        let (held, leaving) = self.with(|s| {
            let held = s.load.weights.contains(&job.weights);
            (held, s.load.leaving)
        });
        if !held {
            return not_run(StatusCode::Conflict, "the weight version is not loaded");
        }
        if leaving {
            return not_run(StatusCode::ServiceUnavailable, "leaving");
        }
        let stream = job.stream;
        let run = self.start_run(job);
        let follower = run.follow();
        if stream {
            return self.follow(follower, 0, faults);
        }
        self.plain(&follower, faults).await
    }

    /// Collects the events of a run into a plain answer.
    async fn plain(&self, follower: &Follower, faults: &Faults) -> Response {
        let run = &follower.0;
        let mut text = String::new();
        let mut usage = Value::Null;
        let mut number = 0;
        while let Some(event) = run.event(number).await {
            let event: Value = serde_json::from_str(&event).unwrap_or_default();
            text.push_str(
                event["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or_default(),
            );
            usage = event.get("usage").cloned().unwrap_or_default();
            number += 1;
        }
        if usage.is_null() {
            return reply::message(StatusCode::InternalServerError, "the run was cancelled");
        }
        let message = json!({"role": "assistant", "content": text.trim_end()});
        let body = json!({
            "id": &*run.id,
            "object": "chat.completion",
            "model": &*run.weights,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": usage,
        });
        named(reply::json(StatusCode::Ok, &body), follower, faults)
    }

    fn resume(self: &Arc<Self>, exchange: &IncomingRequest, id: &str, faults: &Faults) -> Response {
        let Some(run) = self.with(|s| s.runs.get(id).cloned()) else {
            return reply::message(StatusCode::NotFound, "no such run");
        };
        let from = query_number(exchange, "from");
        self.follow(run.follow(), from, faults)
    }

    /// Streams a run's events from number `from` on.
    fn follow(self: &Arc<Self>, follower: Follower, from: usize, faults: &Faults) -> Response {
        let (tx, body) = event_body();
        let res = named(reply::stream("text/event-stream", body), &follower, faults);
        let (this, omit_final) = (self.clone(), faults.omit_final);
        self.spawn(async move {
            let run = &follower.0;
            let mut number = from;
            while let Some(event) = run.event(number).await {
                this.faults.thawed().await;
                if !tx.send(&SseEvent::new(number.to_string(), event)).await {
                    return;
                }
                number += 1;
            }
            if !run.is_whole() {
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
        match self.with(|s| s.runs.get(id).cloned()) {
            Some(run) => {
                run.cancel();
                Response::new(StatusCode::NoContent)
            }
            None => reply::message(StatusCode::NotFound, "no such run"),
        }
    }
}

fn query_number(exchange: &IncomingRequest, name: &str) -> usize {
    let mut pairs = exchange.req.url().query_pairs();
    let value = pairs.find(|(key, _)| key == name);
    value.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
}

fn not_run(status: StatusCode, message: &str) -> Response {
    let mut res = reply::message(status, message);
    res.insert_header(RUN_STATE_HEADER, "not-run");
    res
}

/// Names the request and the weight version in the head.
fn named(mut res: Response, follower: &Follower, faults: &Faults) -> Response {
    let run = &follower.0;
    let id = if faults.crossed { OTHER_ID } else { &run.id };
    res.insert_header(REQUEST_ID_HEADER, id);
    let weights = if faults.other_weights {
        OTHER_WEIGHTS
    } else {
        &run.weights
    };
    res.insert_header(WEIGHTS_HEADER, weights);
    res
}
