//! Admin port of a store.

use std::sync::atomic::{AtomicBool, Ordering};

use http_types::{Method, Response, StatusCode};

use crate::http::{Exchange, Handler, Reply};
use crate::prelude::*;
use crate::store::core::Core;

/// Answers liveness, readiness and metrics.
pub(crate) struct Admin {
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) core: Arc<Core>,
}

impl Admin {
    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && self.core.is_sound()
    }

    fn answer(&self, exchange: &Exchange) -> Response {
        if exchange.req.method() != Method::Get {
            return Response::new(StatusCode::MethodNotAllowed);
        }
        match exchange.req.url().path() {
            "/live" => Response::new(StatusCode::Ok),
            "/ready" if self.is_ready() => Response::new(StatusCode::Ok),
            "/ready" => Response::new(StatusCode::ServiceUnavailable),
            "/metrics" => {
                let mut res = Response::new(StatusCode::Ok);
                res.set_body(self.core.metrics.render());
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
