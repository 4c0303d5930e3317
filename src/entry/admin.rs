//! The admin port: liveness, readiness, metrics and the catalog revision in force at each entry.

use http_types::{Response, StatusCode};

use crate::catalog::EntryRevision;
use crate::entry::status::EntryStatus;
use crate::http::{Handler, IncomingRequest, Problem, ResponseFuture};
use crate::peer::PeerLinks;
use crate::prelude::*;
use crate::telemetry::EntryMetrics;

/// Handles requests to an entry's admin port.
pub(crate) struct AdminHandler {
    /// Name of the entry.
    pub name: Name,
    /// Failure domain of the entry.
    pub domain: Name,
    /// Readiness and catalog revision of this entry.
    pub status: Arc<EntryStatus>,
    /// Returns whether the catalog is known.
    pub catalog_ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Links to peers, for the revisions that live peers report.
    pub links: Arc<dyn PeerLinks>,
    /// Metrics of this entry.
    pub metrics: Arc<EntryMetrics>,
}

impl Handler for AdminHandler {
    fn handle(self: Arc<Self>, incoming: IncomingRequest) -> ResponseFuture {
        Box::pin(async move {
            match incoming.req.url().path() {
                "/live" => text(StatusCode::Ok, "live\n"),
                "/ready" => self.ready(),
                "/metrics" => self.render_metrics(),
                "/in-force" => self.in_force(),
                _ => Problem::not_run(StatusCode::NotFound, "unknown-path", "no such path")
                    .into_response(),
            }
        })
    }
}

impl AdminHandler {
    fn ready(&self) -> Response {
        let unready = if self.status.is_draining() {
            "draining\n"
        } else if !(self.catalog_ready)() {
            "no catalog yet\n"
        } else if !self.status.vms_known() {
            "no list of VMs yet\n"
        } else {
            return text(StatusCode::Ok, "ready\n");
        };
        text(StatusCode::ServiceUnavailable, unready)
    }

    fn render_metrics(&self) -> Response {
        let mut res = Response::new(StatusCode::Ok);
        res.set_body(self.metrics.render());
        res.insert_header("content-type", "text/plain; version=0.0.4");
        res
    }

    fn in_force(&self) -> Response {
        let (revision, since_ms) = self.status.revision();
        let own = EntryRevision {
            entry: self.name.clone(),
            domain: self.domain.clone(),
            revision,
            since_ms,
        };
        let peers = self.links.live().into_iter().map(|peer| EntryRevision {
            entry: peer.name,
            domain: peer.domain,
            revision: peer.revision,
            since_ms: peer.since_ms,
        });
        let all: Vec<EntryRevision> = std::iter::once(own).chain(peers).collect();
        let mut res = Response::new(StatusCode::Ok);
        res.set_body(serde_json::to_string(&all).unwrap_or_default());
        res.insert_header("content-type", "application/json");
        res
    }
}

fn text(status: StatusCode, body: &str) -> Response {
    let mut res = Response::new(status);
    res.set_body(body);
    res
}
