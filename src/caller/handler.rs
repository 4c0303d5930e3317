//! Authenticates, validates and routes callers' requests.

use std::time::Instant;

use http_types::{Method, Response, StatusCode};
use uuid::Uuid;

use crate::caller::attempt::Attempt;
use crate::caller::engine_stream::EngineStream;
use crate::caller::idempotent::serve_idempotent;
use crate::caller::non_idempotent::serve_non_idempotent;
use crate::caller::relay::Relay;
use crate::caller::{CallerRequest, ChatRequest, EventId, RequestKind, Shared};
use crate::http::{Handler, IncomingRequest, Problem, ResponseFuture, RunState};
use crate::prelude::*;
use crate::telemetry::{Span, TraceContext};

/// Prefix of the paths of plain services.
const SERVICE_PATH_PREFIX: &str = "/services/";
/// Pause before a caller may retry at an entry that knows no catalog yet.
const NO_CATALOG_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Handler of the callers' port: chat completions and requests to plain services.
pub struct CallerHandler(pub Arc<Shared>);

impl Handler for CallerHandler {
    fn handle(self: Arc<Self>, incoming: IncomingRequest) -> ResponseFuture {
        Box::pin(async move {
            let shared = &self.0;
            match route(shared, incoming).await {
                Ok(res) => {
                    // A streamed body has no length; its relay counts the request at the end.
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

/// A request whose customer is authenticated and whose body is not yet validated.
struct AuthenticatedRequest {
    customer: Name,
    arrived: Instant,
    trace: TraceContext,
    span: Span,
}

async fn route(shared: &Arc<Shared>, incoming: IncomingRequest) -> Result<Response, Problem> {
    let arrived = Instant::now();
    let trace = trace_context(&incoming);
    let span = shared.spans.start(&trace, "admission");
    let catalog_index = shared.catalog_index.load();
    if catalog_index.catalog.revision == 0 {
        return Err(no_catalog());
    }
    let customer = catalog_index.authenticate(incoming.header("authorization"));
    let authenticated = AuthenticatedRequest {
        customer: customer.ok_or_else(unknown_customer)?,
        arrived,
        trace,
        span,
    };
    let path = incoming.req.url().path().to_owned();
    if path == "/v1/chat/completions" {
        if incoming.req.method() != Method::Post {
            return Err(bad_method());
        }
        return chat(shared, &incoming, authenticated).await;
    }
    if let Some(service_path) = path.strip_prefix(SERVICE_PATH_PREFIX) {
        return service(shared, incoming, service_path.to_owned(), authenticated).await;
    }
    Err(Problem::not_run(
        StatusCode::NotFound,
        "unknown-path",
        "no such path",
    ))
}

async fn chat(
    shared: &Arc<Shared>,
    incoming: &IncomingRequest,
    authenticated: AuthenticatedRequest,
) -> Result<Response, Problem> {
    let chat = ChatRequest::parse(&incoming.body)?;
    let catalog_index = shared.catalog_index.load_full();
    let model = catalog_index.catalog.declarations.models.get(&chat.model);
    let model = model.ok_or_else(|| unknown("unknown-model", &chat.model))?;
    if !chat.adapter.is_empty() && !model.adapters.contains(&chat.adapter) {
        return Err(unknown("unknown-adapter", &chat.adapter));
    }
    let policy = catalog_index.policy(&model.policy);
    let request = CallerRequest {
        serves: chat.model.clone(),
        policy: policy.ok_or_else(|| unknown("unknown-policy", &model.policy))?,
        fingerprint: CallerRequest::fingerprint(
            &authenticated.customer,
            "/v1/chat/completions",
            &incoming.body,
        ),
        customer: authenticated.customer,
        kind: RequestKind::Chat(chat),
        trace: authenticated.trace,
        arrived: authenticated.arrived,
    };
    drop(authenticated.span);
    if let Some(last_event_id) = incoming.header("last-event-id") {
        return resume_stream(shared, &request, last_event_id).await;
    }
    run(shared, incoming, request).await
}

async fn service(
    shared: &Arc<Shared>,
    incoming: IncomingRequest,
    service_path: String,
    authenticated: AuthenticatedRequest,
) -> Result<Response, Problem> {
    let (name, path) = match service_path.split_once('/') {
        Some((name, path)) => (name, format!("/{path}")),
        None => (service_path.as_str(), "/".to_owned()),
    };
    let catalog_index = shared.catalog_index.load_full();
    let service = catalog_index.catalog.declarations.services.get(name);
    let service = service.ok_or_else(|| unknown("unknown-service", name))?;
    let method = incoming.req.method();
    let route = service.route(method.as_ref(), &path);
    let route = route.ok_or_else(|| unknown("unknown-route", &path))?;
    let policy = catalog_index.policy(&route.policy);
    let policy = policy.ok_or_else(|| unknown("unknown-policy", &route.policy))?;
    let full_path = match incoming.req.url().query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let fingerprint = {
        let route = format!("{method} {name}{full_path}");
        CallerRequest::fingerprint(&authenticated.customer, &route, &incoming.body)
    };
    let request = CallerRequest {
        customer: authenticated.customer,
        serves: name.into(),
        policy,
        fingerprint,
        trace: authenticated.trace,
        arrived: authenticated.arrived,
        kind: RequestKind::Service {
            method,
            path: full_path,
            content_type: incoming.header("content-type").map(Name::from),
            key: incoming.header("idempotency-key").map(Name::from),
            body: incoming.body.clone(),
        },
    };
    drop(authenticated.span);
    run(shared, &incoming, request).await
}

async fn run(
    shared: &Arc<Shared>,
    incoming: &IncomingRequest,
    request: CallerRequest,
) -> Result<Response, Problem> {
    if request.policy.idempotent {
        return serve_idempotent(shared, Arc::new(request)).await;
    }
    let key = incoming.header("idempotency-key").ok_or_else(|| {
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
    serve_non_idempotent(shared, Arc::new(request), key).await
}

/// Resumes a stream after the last event that the caller received.
async fn resume_stream(
    shared: &Arc<Shared>,
    request: &CallerRequest,
    last_event_id: &str,
) -> Result<Response, Problem> {
    let id: EventId = last_event_id.parse().map_err(|()| {
        let detail = "Last-Event-ID is not an id of this system";
        Problem::not_run(StatusCode::BadRequest, "bad-event-id", detail)
    })?;
    if !id.is_valid_for(&shared.secret, &request.customer, &request.fingerprint) {
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
        trace: request.trace,
        handle: None,
        claim: None,
    };
    Ok(relay.respond())
}

fn trace_context(incoming: &IncomingRequest) -> TraceContext {
    let given = incoming.header("traceparent").and_then(|t| t.parse().ok());
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

fn no_catalog() -> Problem {
    let detail = "this entry has just started and knows no catalog yet";
    Problem::not_run(StatusCode::ServiceUnavailable, "no-catalog", detail)
        .with_retry_after(NO_CATALOG_RETRY_PAUSE)
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
