//! Checks callers' requests and routes them.

use std::time::Instant;

use http_types::{Method, Response, StatusCode};
use uuid::Uuid;

use crate::caller::attempt::Attempt;
use crate::caller::claimed::serve_claimed;
use crate::caller::engine_stream::EngineStream;
use crate::caller::idempotent::serve;
use crate::caller::relay::Relay;
use crate::caller::{ChatRequest, EventId, Shared, Work, WorkKind};
use crate::http::{Handler, IncomingRequest, Problem, ResponseFuture, RunState};
use crate::prelude::*;
use crate::telemetry::{Span, TraceContext};

/// Start of the paths of plain services.
const SERVICES: &str = "/services/";
/// Answers callers.
pub struct CallerHandler(pub Arc<Shared>);

impl Handler for CallerHandler {
    fn handle(self: Arc<Self>, exchange: IncomingRequest) -> ResponseFuture {
        Box::pin(async move {
            let shared = &self.0;
            match route(shared, exchange).await {
                Ok(res) => {
                    if res.len().is_some() {
                        shared.metrics.requests.with_label_values(&["done"]).inc();
                    }
                    res
                }
                Err(problem) => {
                    shared
                        .metrics
                        .requests
                        .with_label_values(&[problem.code])
                        .inc();
                    problem.into_response()
                }
            }
        })
    }
}

/// A request whose customer is known, while it is being checked.
struct Arrived {
    customer: Name,
    at: Instant,
    trace: TraceContext,
    span: Span,
}

async fn route(shared: &Arc<Shared>, exchange: IncomingRequest) -> Result<Response, Problem> {
    let at = Instant::now();
    let trace = trace_of(&exchange);
    let span = shared.spans.start(&trace, "admission");
    let directory = shared.directory.load();
    let customer = directory.authenticate(exchange.header("authorization"));
    let arrived = Arrived {
        customer: customer.ok_or_else(unknown_customer)?,
        at,
        trace,
        span,
    };
    let path = exchange.req.url().path().to_owned();
    if path == "/v1/chat/completions" {
        if exchange.req.method() != Method::Post {
            return Err(bad_method());
        }
        return chat(shared, &exchange, arrived).await;
    }
    if let Some(rest) = path.strip_prefix(SERVICES) {
        return service(shared, exchange, rest.to_owned(), arrived).await;
    }
    Err(Problem::not_run(
        StatusCode::NotFound,
        "unknown-path",
        "no such path",
    ))
}

async fn chat(
    shared: &Arc<Shared>,
    exchange: &IncomingRequest,
    arrived: Arrived,
) -> Result<Response, Problem> {
    let chat = ChatRequest::parse(&exchange.body)?;
    let directory = shared.directory.load_full();
    let model = directory.catalog.declarations.models.get(&chat.model);
    let model = model.ok_or_else(|| unknown("unknown-model", &chat.model))?;
    if !chat.adapter.is_empty() && !model.adapters.contains(&chat.adapter) {
        return Err(unknown("unknown-adapter", &chat.adapter));
    }
    let policy = directory.policy(&model.policy);
    let work = Work {
        serves: chat.model.clone(),
        policy: policy.ok_or_else(|| unknown("unknown-policy", &model.policy))?,
        fingerprint: Work::fingerprint(&arrived.customer, "/v1/chat/completions", &exchange.body),
        customer: arrived.customer,
        kind: WorkKind::Chat(chat),
        trace: arrived.trace,
        arrived: arrived.at,
    };
    drop(arrived.span);
    if let Some(last) = exchange.header("last-event-id") {
        return resume(shared, &work, last).await;
    }
    run(shared, exchange, work).await
}

async fn service(
    shared: &Arc<Shared>,
    exchange: IncomingRequest,
    rest: String,
    arrived: Arrived,
) -> Result<Response, Problem> {
    let (name, path) = match rest.split_once('/') {
        Some((name, path)) => (name, format!("/{path}")),
        None => (rest.as_str(), "/".to_owned()),
    };
    let directory = shared.directory.load_full();
    let service = directory.catalog.declarations.services.get(name);
    let service = service.ok_or_else(|| unknown("unknown-service", name))?;
    let method = exchange.req.method();
    let route = service.route(method.as_ref(), &path);
    let route = route.ok_or_else(|| unknown("unknown-route", &path))?;
    let policy = directory.policy(&route.policy);
    let policy = policy.ok_or_else(|| unknown("unknown-policy", &route.policy))?;
    let full_path = match exchange.req.url().query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let fingerprint = {
        let route = format!("{method} {name}{full_path}");
        Work::fingerprint(&arrived.customer, &route, &exchange.body)
    };
    let work = Work {
        customer: arrived.customer,
        serves: name.into(),
        policy,
        fingerprint,
        trace: arrived.trace,
        arrived: arrived.at,
        kind: WorkKind::Service {
            method,
            path: full_path,
            content_type: exchange.header("content-type").map(Name::from),
            key: exchange.header("idempotency-key").map(Name::from),
            body: exchange.body.clone(),
        },
    };
    drop(arrived.span);
    run(shared, &exchange, work).await
}

async fn run(
    shared: &Arc<Shared>,
    exchange: &IncomingRequest,
    work: Work,
) -> Result<Response, Problem> {
    if work.policy.idempotent {
        return serve(shared, Arc::new(work)).await;
    }
    let key = exchange.header("idempotency-key").ok_or_else(|| {
        let detail = "this route needs an Idempotency-Key, a UUID of version 7";
        Problem::not_run(StatusCode::BadRequest, "missing-key", detail)
    })?;
    let key = Uuid::parse_str(key)
        .ok()
        .filter(|k| k.get_version_num() == 7);
    let key = key.ok_or_else(|| {
        let detail = "the Idempotency-Key is not a UUID of version 7";
        Problem::not_run(StatusCode::BadRequest, "bad-key", detail)
    })?;
    serve_claimed(shared, Arc::new(work), key).await
}

/// Resumes a stream behind the event that the caller saw last.
async fn resume(shared: &Arc<Shared>, work: &Work, last: &str) -> Result<Response, Problem> {
    let id: EventId = last.parse().map_err(|()| {
        let detail = "Last-Event-ID is not an id of this system";
        Problem::not_run(StatusCode::BadRequest, "bad-event-id", detail)
    })?;
    if !id.fits(&shared.secret, &work.customer, &work.fingerprint) {
        let detail = "Last-Event-ID belongs to another customer or request";
        return Err(Problem::not_run(
            StatusCode::Forbidden,
            "foreign-event-id",
            detail,
        ));
    }
    let target = shared
        .targets
        .load()
        .get(&id.target)
        .map(|t| t.info.address);
    let address = target.ok_or_else(run_gone)?;
    let attempt = Attempt {
        number: 0,
        target: id.target.clone(),
        address,
        weights: id.weights.clone(),
        run: id.run.clone(),
    };
    let stream = EngineStream::attach(shared, &attempt, id.number + 1).await;
    let relay = Relay {
        shared: shared.clone(),
        stream: stream.map_err(|_| run_gone())?,
        id,
        trace: work.trace,
        waiter: None,
        claim: None,
    };
    Ok(relay.respond())
}

fn trace_of(exchange: &IncomingRequest) -> TraceContext {
    let given = exchange.header("traceparent").and_then(|t| t.parse().ok());
    given.unwrap_or_else(TraceContext::start)
}

fn unknown(code: &'static str, name: &str) -> Problem {
    let what = code.strip_prefix("unknown-").unwrap_or(code);
    Problem::not_run(
        StatusCode::NotFound,
        code,
        format!("no such {what}: {name:?}"),
    )
}

fn unknown_customer() -> Problem {
    let detail = "expected Authorization: Bearer with a customer's token";
    Problem::not_run(StatusCode::Unauthorized, "unknown-customer", detail)
}

fn bad_method() -> Problem {
    Problem::not_run(StatusCode::MethodNotAllowed, "bad-method", "expected POST")
}

fn run_gone() -> Problem {
    let detail = "the run is gone; send the request again without Last-Event-ID";
    Problem::not_run(StatusCode::Gone, "run-gone", detail).with_run(RunState::Ran)
}
