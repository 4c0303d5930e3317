//! Stand-in of a plain service that counts what it runs.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_io::Timer;
use guavahold::http::{IncomingRequest, ResponseFuture};
use guavahold::prelude::Name;
use guavahold::target::{LoadReport, REQUEST_ID_HEADER};
use http_types::{Method, Response, StatusCode};
use serde::Serialize;

use crate::{FaultBox, Faults, StandIn, response};

/// Settings of a [`ServiceStandIn`].
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: Name,
    /// Duration of a call that is not a GET.
    pub write_time: Duration,
    /// Duration of a GET.
    pub read_time: Duration,
    /// Calls run at once as reported.
    pub slots: u32,
}

impl ServiceSettings {
    /// Makes settings with defaults for everything but the name.
    #[must_use]
    pub fn new(name: impl Into<Name>) -> Self {
        Self {
            name: name.into(),
            write_time: Duration::from_millis(20),
            read_time: Duration::from_millis(2),
            slots: 64,
        }
    }
}

/// Runs counted by what identifies them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunCounts {
    /// Calls that are not GET.
    pub total: u64,
    /// Calls by `Idempotency-Key`.
    pub by_key: BTreeMap<String, u64>,
    /// Calls by request id.
    pub by_request: BTreeMap<String, u64>,
    /// Calls by body.
    pub by_body: BTreeMap<String, u64>,
    /// GET calls.
    pub reads: u64,
}

/// A plain service.
#[derive(Debug)]
pub struct ServiceStandIn {
    cfg: ServiceSettings,
    faults: FaultBox,
    counts: Mutex<RunCounts>,
    running: AtomicU32,
    leaving: AtomicBool,
}

impl ServiceStandIn {
    /// Makes a service that has run nothing.
    #[must_use]
    pub fn new(cfg: ServiceSettings) -> Self {
        Self {
            cfg,
            faults: FaultBox::default(),
            counts: Mutex::default(),
            running: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
        }
    }

    /// What was run so far.
    #[must_use]
    pub fn counts(&self) -> RunCounts {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.clone()
    }

    fn count(&self, exchange: &IncomingRequest) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if exchange.req.method() == Method::Get {
            counts.reads += 1;
            return;
        }
        counts.total += 1;
        if let Some(key) = exchange.header("idempotency-key") {
            *counts.by_key.entry(key.to_owned()).or_default() += 1;
        }
        if let Some(id) = exchange.header(REQUEST_ID_HEADER) {
            *counts.by_request.entry(id.to_owned()).or_default() += 1;
        }
        let body = String::from_utf8_lossy(&exchange.body).into_owned();
        *counts.by_body.entry(body).or_default() += 1;
    }

    fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running.load(Ordering::Relaxed),
            slots: self.cfg.slots,
            leaving: self.leaving.load(Ordering::Relaxed),
            ..LoadReport::default()
        }
    }

    async fn run(&self, exchange: &IncomingRequest) -> Response {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.count(exchange);
        let get = exchange.req.method() == Method::Get;
        let time = if get {
            self.cfg.read_time
        } else {
            self.cfg.write_time
        };
        Timer::after(time.mul_f64(self.faults.slow())).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        let body = serde_json::json!({
            "service": &*self.cfg.name,
            "method": exchange.req.method().to_string(),
            "path": exchange.req.url().path(),
            "query": exchange.req.url().query(),
            "digest": blake3::hash(&exchange.body).to_hex().as_str(),
        });
        response::json(StatusCode::Ok, &body)
    }
}

impl StandIn for ServiceStandIn {
    fn serve(self: Arc<Self>, exchange: IncomingRequest, faults: Faults) -> ResponseFuture {
        Box::pin(async move {
            if exchange.req.url().path() == "/load" {
                return response::json(StatusCode::Ok, &self.load());
            }
            let mut res = self.run(&exchange).await;
            if let Some(id) = exchange.header(REQUEST_ID_HEADER) {
                let id = if faults.crossed { "crossed" } else { id };
                res.insert_header(REQUEST_ID_HEADER, id);
            }
            res
        })
    }

    fn administer(&self, exchange: &IncomingRequest) -> Response {
        match exchange.req.url().path() {
            "/runs" => response::json(StatusCode::Ok, &self.counts()),
            "/leave" => {
                self.leaving.store(true, Ordering::Relaxed);
                response::message(StatusCode::Ok, "leaving")
            }
            _ => response::message(StatusCode::NotFound, "no such path"),
        }
    }

    fn faults(&self) -> &FaultBox {
        &self.faults
    }
}
