//! HTTP endpoints for the load balancer's readiness check and for metrics.

use http_types::{Response, StatusCode};

use crate::gateway::shared::Shared;
use crate::http::{Handler, IncomingRequest, Problem, ResponseFuture};
use crate::prelude::*;

/// Handles readiness checks and metrics scrapes.
pub(crate) struct ProbeHandler {
    /// Shared state of the gateway.
    pub shared: Arc<Shared>,
    /// Path of the readiness check.
    pub ready_path: Name,
}

impl Handler for ProbeHandler {
    fn handle(self: Arc<Self>, request: IncomingRequest) -> ResponseFuture {
        Box::pin(async move {
            let path = request.req.url().path();
            if path == &*self.ready_path {
                return self.ready();
            }
            if path == "/metrics" {
                let mut res = Response::new(StatusCode::Ok);
                res.set_body(self.shared.metrics.render());
                res.insert_header("content-type", "text/plain; version=0.0.4");
                return res;
            }
            Problem::not_run(StatusCode::NotFound, "unknown-path", "no such path").into_response()
        })
    }
}

impl ProbeHandler {
    fn ready(&self) -> Response {
        let known = self.shared.routes.load().is_some();
        let status = if known && !self.shared.drain.is_draining() {
            StatusCode::Ok
        } else {
            StatusCode::ServiceUnavailable
        };
        Response::new(status)
    }
}
