//! Serves one request: runs the attempts that the scheduler dispatches, until a final response.

use std::net::TcpStream;
use std::time::Instant;

use async_io::Async;

use crate::gateway::admitted_request::AdmittedRequest;
use crate::gateway::arrival::arrival_of;
use crate::gateway::caller_response::CallerResponse;
use crate::gateway::caller_room::CallerRoom;
use crate::gateway::outcome::Outcome;
use crate::gateway::refusal::{held_back, rejected, unconfigured, unknown_origin};
use crate::gateway::request_driver::RequestDriver;
use crate::gateway::request_log::RequestLog;
use crate::gateway::request_reader::{self, RequestReader};
use crate::gateway::shared::Shared;
use crate::gateway::{LocalResponse, RequestHead, RunRecord};
use crate::prelude::*;
use crate::route::{Route, RouteMatch, RouteTable};

/// Timeout of a request whose caller sets none; the route's timeout applies as well.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(2);

/// Serves a request; `false` when the caller's connection must be closed.
pub(crate) async fn serve(
    shared: &Arc<Shared>,
    received: request_reader::ReceivedRequest,
    stream: &Async<TcpStream>,
    room: &CallerRoom,
    reader: &mut RequestReader,
) -> bool {
    let mut response = CallerResponse {
        stream,
        room,
        close: received.close || shared.drain.is_draining(),
        head_sent: false,
        last_event: received.head.last_event,
        first_event_at: None,
        software: None,
    };
    let routes = shared.routes.load_full();
    let resolved = match routes.map(|routes| resolve_route(&routes, &received)) {
        None => Err(unconfigured()),
        Some(resolved) => resolved,
    };
    let request = match resolved {
        Err(local_response) => {
            RequestLog::record_rejection(shared, &received.head, &local_response);
            return send_local_response(shared, &received.head, &local_response, &mut response)
                .await;
        }
        Ok((route, holder, service)) => admitted_request(shared, received, route, holder, service),
    };
    let required = shared.stream_origins.required_software(shared, &request);
    let Ok(software) = required.await else {
        let local_response = unknown_origin();
        RequestLog::record_rejection(shared, &request.head, &local_response);
        return send_local_response(shared, &request.head, &local_response, &mut response).await;
    };
    if let Some(retry_after) = shared.prompt_quarantine.held(&request) {
        let local_response = held_back(retry_after);
        RequestLog::record_rejection(shared, &request.head, &local_response);
        return send_local_response(shared, &request.head, &local_response, &mut response).await;
    }
    response.software = software;
    let arrival = arrival_of(shared, &request, response.software.clone());
    let mut driver = RequestDriver {
        shared,
        request: &request,
        handle: shared.scheduler_client.submit(arrival),
        target_error: None,
        run_record: RunRecord::default(),
        request_log: RequestLog::default(),
    };
    let outcome = driver.run(&mut response, reader).await;
    let RequestDriver {
        handle,
        request_log,
        ..
    } = driver;
    // Otherwise an attempt may still be running, which the handle takes back.
    if matches!(outcome, Outcome::Response(..) | Outcome::Streamed) {
        handle.finish();
    }
    request_log.record_end(shared, &request, &outcome.label(), &response, &handle);
    match outcome {
        Outcome::Response(head, body) => {
            response.close |= shared.drain.is_draining();
            response.send_complete(&head, &body).await.is_ok() && !response.close
        }
        Outcome::Streamed => !response.close,
        Outcome::LocalResponse(local_response) => {
            send_local_response(shared, &request.head, &local_response, &mut response).await
        }
        Outcome::CutShort | Outcome::CallerLeft => false,
    }
}

async fn send_local_response(
    shared: &Shared,
    head: &RequestHead,
    local_response: &LocalResponse,
    response: &mut CallerResponse<'_>,
) -> bool {
    response.close |= shared.drain.is_draining();
    let mut out = Vec::with_capacity(256);
    shared
        .dialect
        .encode_local_response(Some(head), local_response, response.close, &mut out);
    response.write(&out).await.is_ok() && !response.close
}

type ResolvedRoute = (Arc<Route>, Option<Arc<crate::route::KeyHolder>>, Name);

/// Looks up the request's route and customer, and picks its service.
fn resolve_route(
    routes: &RouteTable,
    received: &request_reader::ReceivedRequest,
) -> Result<ResolvedRoute, LocalResponse> {
    let head = &received.head;
    match routes.find(&head.host, &head.path, head.key.as_deref()) {
        RouteMatch::NoRoute => Err(rejected(404, "unknown-route")),
        RouteMatch::NoKey => Err(rejected(401, "unknown-key")),
        RouteMatch::Route(route, holder) => {
            let service = route.split.pick(fastrand::u64(..)).cloned();
            let service = service.ok_or_else(Shared::no_target)?;
            Ok((route, holder, service))
        }
    }
}

fn admitted_request(
    shared: &Shared,
    received: request_reader::ReceivedRequest,
    route: Arc<Route>,
    holder: Option<Arc<crate::route::KeyHolder>>,
    service: Name,
) -> AdmittedRequest {
    let timeout = received.head.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let customer = holder.as_ref().map_or(&[][..], |h| &h.allowed_regions);
    AdmittedRequest {
        residency: shared.regions.residency(&route.allowed_regions, customer),
        deadline: received.at + timeout.min(route.timeout),
        arrived: received.at,
        head: received.head,
        body: received.body,
        route,
        holder,
        service,
    }
}

impl AdmittedRequest {
    /// Time since the request was received.
    pub(crate) fn age(&self) -> Duration {
        Instant::now().saturating_duration_since(self.arrived)
    }
}
