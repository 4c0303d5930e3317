//! Stand-in for the platform's object API.

mod objects;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_io::Timer;
use guavahold::http::{IncomingRequest, ResponseFuture};
use http_types::{Method, Response, StatusCode};
use percent_encoding::percent_decode_str;
use serde_json::Value;

use crate::body::channel_body;
use crate::{ActiveFaults, Faults, Spawner, StandIn, response};

pub use objects::{ApiError, Change, ObjectStore};

/// Prefix of every path of the object API.
const API_PREFIX: &str = "/apis/guavahold.dev/v1/";
/// Interval at which each watch receives a bookmark.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Settings of a [`PlatformStandIn`].
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Number of changes kept for watches that start at an older version.
    pub history: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self { history: 4096 }
    }
}

#[derive(Debug)]
struct Watcher {
    kind: String,
    name: Option<String>,
    tx: async_channel::Sender<Vec<u8>>,
}

/// A simulated platform.
#[derive(Debug)]
pub struct PlatformStandIn {
    faults: ActiveFaults,
    objects: Mutex<ObjectStore>,
    watchers: Mutex<Vec<Watcher>>,
    calls: Mutex<BTreeMap<String, u64>>,
}

impl PlatformStandIn {
    /// Creates a platform without objects.
    #[must_use]
    pub fn new(cfg: &PlatformSettings) -> Self {
        Self {
            faults: ActiveFaults::default(),
            objects: Mutex::new(ObjectStore::new(cfg.history)),
            watchers: Mutex::default(),
            calls: Mutex::default(),
        }
    }

    /// Number of calls by `kind verb`, since the start or since the counters were reset.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<String, u64> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.clone()
    }

    fn count_call(&self, kind: &str, verb: &str) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        *calls.entry(format!("{kind} {verb}")).or_default() += 1;
    }

    /// Applies a write and sends it to the watches under one lock, so that no watch misses it.
    fn write(
        &self,
        change: impl FnOnce(&mut ObjectStore) -> Result<Change, ApiError>,
    ) -> Result<Value, ApiError> {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        let change = change(&mut objects)?;
        let line = change.watch_line();
        let mut watchers = self.watchers.lock().unwrap_or_else(PoisonError::into_inner);
        watchers.retain(|w| {
            let name = w.name.as_ref().is_none_or(|n| *n == change.name);
            let matches = w.kind == change.kind && name;
            !w.tx.is_closed() && (!matches || w.tx.try_send(line.clone()).is_ok())
        });
        Ok(change.object)
    }

    fn watch(&self, kind: &str, name: Option<String>, from: u64) -> Response {
        let objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(missed_changes) = objects.changes_since(kind, from) else {
            return response::message(StatusCode::Gone, "the version is too old");
        };
        let (tx, rx) = async_channel::unbounded();
        for change in missed_changes {
            if name.as_ref().is_none_or(|n| *n == change.name) {
                let _ = tx.try_send(change.watch_line());
            }
        }
        let _ = tx.try_send(objects.bookmark_line());
        let watcher = Watcher {
            kind: kind.to_owned(),
            name,
            tx,
        };
        let mut watchers = self.watchers.lock().unwrap_or_else(PoisonError::into_inner);
        watchers.push(watcher);
        response::stream("application/json", channel_body(rx))
    }

    fn call(&self, request: &IncomingRequest) -> Response {
        let url = request.req.url();
        let Some(path) = url.path().strip_prefix(API_PREFIX) else {
            return response::message(StatusCode::NotFound, "no such path");
        };
        let query: BTreeMap<String, String> = url.query_pairs().into_owned().collect();
        let version = query.get("resourceVersion").map(String::as_str);
        let mut segments = path.split('/').map(decode_segment);
        let kind = segments.next().unwrap_or_default();
        let name = segments.next();
        let (kind, name) = (kind.as_str(), name.as_deref());
        if request.body.len() > MAX_BODY_BYTES {
            return response::message(StatusCode::PayloadTooLarge, "value over a megabyte");
        }
        let body = serde_json::from_slice::<Value>(&request.body).unwrap_or(Value::Null);
        let watch = query.get("watch").is_some_and(|w| w == "true");
        let verb = verb(request.req.method(), name, watch);
        self.count_call(kind, verb);
        let lock = || self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        let result = match (verb, name) {
            ("watch", _) => {
                let from = version.and_then(|v| v.parse().ok()).unwrap_or(0);
                return self.watch(kind, query.get("name").cloned(), from);
            }
            ("get", Some(name)) => lock().get(kind, name),
            ("list", _) => Ok(lock().list(kind)),
            ("create", _) => self.write(|o| o.create(kind, &body)),
            ("update", Some(name)) => self.write(|o| o.update(kind, name, &body)),
            ("delete", Some(name)) => self.write(|o| o.delete(kind, name, version)),
            _ => Err(ApiError::BadRequest),
        };
        match result {
            Ok(value) if verb == "create" => response::json(StatusCode::Created, &value),
            Ok(value) => response::json(StatusCode::Ok, &value),
            Err(err) => response::message(err.status(), &format!("{err:?}")),
        }
    }
}

fn decode_segment(segment: &str) -> String {
    percent_decode_str(segment).decode_utf8_lossy().into_owned()
}

fn verb(method: Method, name: Option<&str>, watch: bool) -> &'static str {
    match (method, name) {
        (Method::Get, None) if watch => "watch",
        (Method::Get, None) => "list",
        (Method::Get, Some(_)) => "get",
        (Method::Post, _) => "create",
        (Method::Put, _) => "update",
        (Method::Delete, _) => "delete",
        _ => "other",
    }
}

impl StandIn for PlatformStandIn {
    fn handle(self: Arc<Self>, request: IncomingRequest, _faults: Faults) -> ResponseFuture {
        Box::pin(async move { self.call(&request) })
    }

    fn handle_admin(&self, request: &IncomingRequest) -> Response {
        match (request.req.url().path(), request.req.method()) {
            ("/calls", Method::Delete) => {
                let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
                let old = std::mem::take(&mut *calls);
                response::json(StatusCode::Ok, &old)
            }
            ("/calls", _) => response::json(StatusCode::Ok, &self.calls()),
            ("/drop-watches", _) => {
                let mut watchers = self.watchers.lock().unwrap_or_else(PoisonError::into_inner);
                watchers.clear();
                response::message(StatusCode::Ok, "watches closed")
            }
            _ => response::message(StatusCode::NotFound, "no such path"),
        }
    }

    fn faults(&self) -> &ActiveFaults {
        &self.faults
    }

    fn start(self: Arc<Self>, spawner: Spawner) {
        let this = Arc::downgrade(&self);
        spawner.spawn(async move {
            loop {
                Timer::after(BOOKMARK_INTERVAL).await;
                let Some(this) = this.upgrade() else { return };
                if this.faults.get().freeze {
                    continue;
                }
                let objects = this.objects.lock().unwrap_or_else(PoisonError::into_inner);
                let line = objects.bookmark_line();
                let mut watchers = this.watchers.lock().unwrap_or_else(PoisonError::into_inner);
                watchers.retain(|w| w.tx.try_send(line.clone()).is_ok());
            }
        });
    }
}
