//! Stand-in for a plain service that counts its runs.

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

use crate::{ActiveFaults, Faults, StandIn, response};

/// Settings of a [`ServiceStandIn`].
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: Name,
    /// Processing time of a request that is not a GET.
    pub write_time: Duration,
    /// Processing time of a GET.
    pub read_time: Duration,
    /// Number of slots in load reports; not enforced.
    pub slots: u32,
}

impl ServiceSettings {
    /// Creates settings with defaults for everything but the name.
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

/// Counters of the requests that the service ran, as returned by `/runs`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunCounts {
    /// Requests other than GET.
    pub total: u64,
    /// Requests other than GET by `Idempotency-Key`.
    pub by_key: BTreeMap<String, u64>,
    /// Requests other than GET by request id.
    pub by_request: BTreeMap<String, u64>,
    /// Requests other than GET by body.
    pub by_body: BTreeMap<String, u64>,
    /// GET requests.
    pub reads: u64,
}

/// A simulated plain service.
#[derive(Debug)]
pub struct ServiceStandIn {
    cfg: ServiceSettings,
    faults: ActiveFaults,
    counts: Mutex<RunCounts>,
    running: AtomicU32,
    leaving: AtomicBool,
}

impl ServiceStandIn {
    /// Creates a service whose counters are zero.
    #[must_use]
    pub fn new(cfg: ServiceSettings) -> Self {
        Self {
            cfg,
            faults: ActiveFaults::default(),
            counts: Mutex::default(),
            running: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
        }
    }

    /// Counters since the start of the service.
    #[must_use]
    pub fn counts(&self) -> RunCounts {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.clone()
    }

    fn count_run(&self, request: &IncomingRequest) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if request.req.method() == Method::Get {
            counts.reads += 1;
            return;
        }
        counts.total += 1;
        if let Some(key) = request.header("idempotency-key") {
            *counts.by_key.entry(key.to_owned()).or_default() += 1;
        }
        if let Some(id) = request.header(REQUEST_ID_HEADER) {
            *counts.by_request.entry(id.to_owned()).or_default() += 1;
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        *counts.by_body.entry(body).or_default() += 1;
    }

    fn load_report(&self) -> LoadReport {
        LoadReport {
            running: self.running.load(Ordering::Relaxed),
            slots: self.cfg.slots,
            leaving: self.leaving.load(Ordering::Relaxed),
            ..LoadReport::default()
        }
    }

    async fn run(&self, request: &IncomingRequest) -> Response {
        self.running.fetch_add(1, Ordering::Relaxed);
        self.count_run(request);
        let is_read = request.req.method() == Method::Get;
        let time = if is_read {
            self.cfg.read_time
        } else {
            self.cfg.write_time
        };
        Timer::after(time.mul_f64(self.faults.slowdown())).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        let body = serde_json::json!({
            "service": &*self.cfg.name,
            "method": request.req.method().to_string(),
            "path": request.req.url().path(),
            "query": request.req.url().query(),
            "digest": blake3::hash(&request.body).to_hex().as_str(),
        });
        response::json(StatusCode::Ok, &body)
    }
}

impl StandIn for ServiceStandIn {
    fn handle(self: Arc<Self>, request: IncomingRequest, faults: Faults) -> ResponseFuture {
        Box::pin(async move {
            if request.req.url().path() == "/load" {
                return response::json(StatusCode::Ok, &self.load_report());
            }
            let mut res = self.run(&request).await;
            if let Some(id) = request.header(REQUEST_ID_HEADER) {
                let id = if faults.crossed { "crossed" } else { id };
                res.insert_header(REQUEST_ID_HEADER, id);
            }
            res
        })
    }

    fn handle_admin(&self, request: &IncomingRequest) -> Response {
        match request.req.url().path() {
            "/runs" => response::json(StatusCode::Ok, &self.counts()),
            "/leave" => {
                self.leaving.store(true, Ordering::Relaxed);
                response::message(StatusCode::Ok, "leaving")
            }
            _ => response::message(StatusCode::NotFound, "no such path"),
        }
    }

    fn faults(&self) -> &ActiveFaults {
        &self.faults
    }
}
