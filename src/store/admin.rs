//! Admin port of a store.

use std::sync::atomic::{AtomicBool, Ordering};

use http_types::{Method, Response, StatusCode};

use crate::http::{Exchange, Handler, Reply};
use crate::prelude::*;
use crate::store::StoreMetrics;

/// Answers liveness, readiness and metrics.
pub(crate) struct Admin {
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) metrics: Arc<StoreMetrics>,
}

impl Admin {
    fn answer(&self, exchange: &Exchange) -> Response {
        if exchange.req.method() != Method::Get {
            return Response::new(StatusCode::MethodNotAllowed);
        }
        match exchange.req.url().path() {
            "/live" => Response::new(StatusCode::Ok),
            "/ready" if self.ready.load(Ordering::Acquire) => Response::new(StatusCode::Ok),
            "/ready" => Response::new(StatusCode::ServiceUnavailable),
            "/metrics" => {
                let mut res = Response::new(StatusCode::Ok);
                res.set_body(self.metrics.render());
                res.insert_header("content-type", "text/plain; version=0.0.4");
                res
            }
            _ => Response::new(StatusCode::NotFound),
        }
    }
}

impl Handler for Admin {
    fn handle(self: Arc<Self>, exchange: Exchange) -> Reply {
        Box::pin(async move { self.answer(&exchange) })
    }
}
