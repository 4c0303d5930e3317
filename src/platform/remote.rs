//! HTTP client of the platform.
//!
//! Paths follow the Kubernetes API conventions: `/apis/guavahold.dev/v1/{kind}/{name}`, conditional
//! PUT by `metadata.resourceVersion`, `watch=true` as JSON lines.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_io::Timer;
use futures_lite::future::Boxed;
use futures_lite::{FutureExt, stream};
use http_types::{Method, Request, StatusCode};
use serde_json::Value;

use crate::http::{ClientResponse, Connection, ExchangeError, Pool};
use crate::platform::{
    Listing, Object, ObjectPath, Platform, PlatformError, Version, WatchEvent, WatchStream,
    WatchTiming,
};
use crate::prelude::*;

/// Root of the object API.
const OBJECTS_ROOT: &str = "/apis/guavahold.dev/v1/";
/// Longest accepted response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Longest accepted line of a watch, in bytes.
const MAX_WATCH_LINE_BYTES: usize = 4 * 1024 * 1024;

/// Client of the platform's object API.
#[derive(Clone, Debug)]
pub struct RemotePlatform(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    addresses: Vec<SocketAddr>,
    current: AtomicUsize,
    pool: Pool,
    timeout: Duration,
}

impl RemotePlatform {
    /// Makes a client of `addresses`: calls go to the first until one gets no response, then to the
    /// next. Each call ends within `timeout`.
    ///
    /// # Panics
    /// When `addresses` is empty.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        assert!(!addresses.is_empty(), "a platform address is required");
        Self(Arc::new(Inner {
            addresses,
            current: AtomicUsize::new(0),
            pool: Pool::new(timeout),
            timeout,
        }))
    }
}

impl Inner {
    fn address(&self) -> SocketAddr {
        let current = self.current.load(Ordering::Relaxed);
        self.addresses[current % self.addresses.len()]
    }

    /// Selects the next address, after a call without a response.
    fn rotate(&self) {
        self.current.fetch_add(1, Ordering::Relaxed);
    }

    async fn call(
        &self,
        method: Method,
        path: &ObjectPath,
        body: Option<&Value>,
    ) -> Result<(StatusCode, Value), PlatformError> {
        let addr = self.address();
        let req = request(addr, method, path, body)?;
        let exchange = async {
            let response = self.pool.fetch(addr, req, MAX_RESPONSE_BYTES).await;
            response.map_err(|err| platform_error(&err))
        };
        let timed_out = async {
            Timer::after(self.timeout).await;
            Err(PlatformError::Unanswered("no response in time".into()))
        };
        let (status, bytes) = exchange.or(timed_out).await.inspect_err(|_| {
            self.pool.clear(addr);
            self.rotate();
        })?;
        let json = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        check_status(status, &json)?;
        Ok((status, json))
    }

    async fn open_watch(&self, path: &ObjectPath) -> Result<ClientResponse, PlatformError> {
        let addr = self.address();
        let req = request(addr, Method::Get, path, None)?;
        let exchange = async {
            let conn = Connection::open(addr, self.timeout).await?;
            conn.send(req).await
        };
        let timed_out = async {
            Timer::after(self.timeout).await;
            Err(ExchangeError::Sent(std::io::ErrorKind::TimedOut.into()))
        };
        let response = exchange.or(timed_out).await.map_err(|err| {
            self.rotate();
            platform_error(&err)
        })?;
        check_status(response.res.status(), &Value::Null)?;
        Ok(response)
    }
}

fn request(
    addr: SocketAddr,
    method: Method,
    path: &ObjectPath,
    body: Option<&Value>,
) -> Result<Request, PlatformError> {
    let mut req = Request::new(method, path.to_url(addr, OBJECTS_ROOT)?);
    if let Some(body) = body {
        req.set_body(body.to_string());
        req.insert_header("content-type", "application/json");
    }
    Ok(req)
}

fn platform_error(err: &ExchangeError) -> PlatformError {
    if err.may_have_been_sent() {
        PlatformError::Unanswered(err.to_string())
    } else {
        PlatformError::Unreachable(err.to_string())
    }
}

fn check_status(status: StatusCode, json: &Value) -> Result<(), PlatformError> {
    match u16::from(status) {
        200..=299 => Ok(()),
        404 => Err(PlatformError::NotFound),
        409 => Err(PlatformError::Conflict),
        410 => Err(PlatformError::Expired),
        code @ (400..=499) => {
            let message = json.get("message").and_then(Value::as_str);
            Err(PlatformError::Rejected(format!(
                "{code} {}",
                message.unwrap_or_default()
            )))
        }
        code => Err(PlatformError::Unanswered(format!("status {code}"))),
    }
}

fn decode(kind: &str, json: &Value) -> Result<Object, PlatformError> {
    let object = Object::from_json(kind, json);
    object.ok_or_else(|| PlatformError::Unanswered("response is not an object".into()))
}

impl Platform for RemotePlatform {
    fn get(&self, kind: &str, name: &str) -> Boxed<Result<Option<Object>, PlatformError>> {
        let (this, kind, name) = (self.0.clone(), Name::from(kind), Name::from(name));
        Box::pin(async move {
            let path = ObjectPath::of_object(&kind, &name)?;
            match this.call(Method::Get, &path, None).await {
                Ok((_, json)) => decode(&kind, &json).map(Some),
                Err(PlatformError::NotFound) => Ok(None),
                Err(err) => Err(err),
            }
        })
    }

    fn list(&self, kind: &str) -> Boxed<Result<Listing, PlatformError>> {
        let (this, kind) = (self.0.clone(), Name::from(kind));
        Box::pin(async move {
            let path = ObjectPath::of_kind(&kind)?;
            let (_, json) = this.call(Method::Get, &path, None).await?;
            let version = json["metadata"]["resourceVersion"].as_str();
            let (Some(items), Some(version)) = (json["items"].as_array(), version) else {
                // What a listing lacks counts as deleted.
                let reason = "response is not a listing";
                return Err(PlatformError::Unreadable(reason.into()));
            };
            let items = items.iter();
            Ok(Listing {
                items: items.map(|i| decode(&kind, i)).collect::<Result<_, _>>()?,
                version: Version(version.to_owned()),
                ..Listing::default()
            })
        })
    }

    fn create(&self, object: Object) -> Boxed<Result<Object, PlatformError>> {
        let this = self.0.clone();
        Box::pin(async move {
            let json = object.to_json();
            let path = ObjectPath::of_kind(&object.kind)?;
            let (_, json) = this.call(Method::Post, &path, Some(&json)).await?;
            decode(&object.kind, &json)
        })
    }

    fn update(&self, object: Object) -> Boxed<Result<Object, PlatformError>> {
        let this = self.0.clone();
        Box::pin(async move {
            let path = ObjectPath::of_object(&object.kind, &object.name)?;
            let json = object.to_json();
            let (_, json) = this.call(Method::Put, &path, Some(&json)).await?;
            decode(&object.kind, &json)
        })
    }

    fn delete(&self, kind: &str, name: &str, version: Version) -> Boxed<Result<(), PlatformError>> {
        let this = self.0.clone();
        let path = ObjectPath::of_object(kind, name);
        let path = path.map(|path| path.with("resourceVersion", version.0));
        Box::pin(async move { this.call(Method::Delete, &path?, None).await.map(|_| ()) })
    }

    fn watch(
        &self,
        kind: &str,
        name: Option<&str>,
        from: Version,
        timing: WatchTiming,
    ) -> Boxed<Result<WatchStream, PlatformError>> {
        let (this, kind) = (self.0.clone(), Name::from(kind));
        let path = ObjectPath::of_kind(&kind).map(|path| {
            let path = path.with("watch", true).with("resourceVersion", from.0);
            match name {
                Some(name) => path.with("name", name),
                None => path,
            }
        });
        Box::pin(async move {
            let response = this.open_watch(&path?).await?;
            let reader = WatchReader {
                response,
                kind,
                max_silence: timing.max_silence,
                buf: Vec::new(),
            };
            let events = stream::unfold(Some(reader), |reader| async move {
                let mut reader = reader?;
                let event = reader.next().await?;
                let next = event.is_ok().then_some(reader);
                Some((event, next))
            });
            Ok(Box::pin(events) as WatchStream)
        })
    }
}

/// Reads the events of a watch from its JSON lines.
struct WatchReader {
    response: ClientResponse,
    kind: Name,
    max_silence: Duration,
    buf: Vec<u8>,
}

impl WatchReader {
    /// Reads the next event; `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<WatchEvent, PlatformError>> {
        loop {
            if let Some(end) = self.buf.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                return Some(self.parse(&line));
            }
            if self.buf.len() > MAX_WATCH_LINE_BYTES {
                return Some(Err(PlatformError::Rejected("watch line too long".into())));
            }
            let mut buf = vec![0; 16 * 1024];
            let read = self.response.read(&mut buf);
            let timed_out = async {
                Timer::after(self.max_silence).await;
                Err(ExchangeError::Body(std::io::ErrorKind::TimedOut.into()))
            };
            match read.or(timed_out).await {
                Ok(0) => return None,
                Ok(n) => self.buf.extend_from_slice(&buf[..n]),
                Err(err) => return Some(Err(PlatformError::Unreachable(err.to_string()))),
            }
        }
    }

    fn parse(&self, line: &[u8]) -> Result<WatchEvent, PlatformError> {
        let json: Value = serde_json::from_slice(line)
            .map_err(|err| PlatformError::Unreachable(format!("bad watch line: {err}")))?;
        let object = &json["object"];
        match json["type"].as_str().unwrap_or_default() {
            "ADDED" | "MODIFIED" => decode(&self.kind, object).map(WatchEvent::Put),
            "DELETED" => decode(&self.kind, object).map(WatchEvent::Deleted),
            "BOOKMARK" => {
                let version = object["metadata"]["resourceVersion"].as_str();
                let version = Version(version.unwrap_or_default().to_owned());
                Ok(WatchEvent::Bookmark(version))
            }
            // As in Kubernetes, an `ERROR` event ends the watch, for example when its version is
            // too old.
            _ => Err(PlatformError::Expired),
        }
    }
}
