//! Block requests of engines and entries.

use std::future::Future;
use std::pin::Pin;

use http_types::{Body, Method, Request, Response, StatusCode};

use crate::cache::client::{DIGEST_HEADER, PARENT_HEADER, PRIORITY_HEADER, TICKET_HEADER};
use crate::cache::{BlockKey, Held, HeldRequest, Operation, Secret, Ticket};
use crate::clock;
use crate::http::{Admission, BodyGate, Exchange, Framing, Handler, Problem, Reply};
use crate::prelude::*;
use crate::store::body::PacedBody;
use crate::store::core::{Core, Fetched, PutOutcome};
use crate::store::index::{BlockInfo, Rejection};
use crate::store::link::{Transfer, Urgency};

/// Longest body of a request that carries no block, in bytes.
const QUESTION_BYTES: u64 = 512 * 1024;
/// Most keys in one probe.
const PROBE_KEYS: usize = 4096;

/// Answers requests for blocks.
pub(crate) struct Blocks {
    pub(crate) secret: Secret,
    pub(crate) core: Arc<Core>,
    /// Longest block, in bytes.
    pub(crate) block_bytes: u64,
}

/// What a checked block request asks for.
struct BlockRequest {
    key: BlockKey,
    customer: Name,
}

/// Lets an upload's bytes in as fast as the link allows.
struct UploadGate(Transfer);

impl BodyGate for UploadGate {
    fn next(&mut self, bytes: usize) -> Pin<Box<dyn Future<Output = usize> + Send + '_>> {
        Box::pin(async move {
            let granted = self.0.take(bytes as u64).await;
            usize::try_from(granted).unwrap_or(bytes)
        })
    }
}

impl Blocks {
    async fn answer(&self, exchange: Exchange) -> Response {
        if !self.core.is_sound() {
            return Response::new(StatusCode::ServiceUnavailable);
        }
        let method = exchange.req.method();
        if exchange.req.url().path() == "/held" && method == Method::Post {
            return self.held(&exchange.body);
        }
        let block = match self.check(&exchange.req) {
            Ok(block) => block,
            Err(status) => return Response::new(status),
        };
        match method {
            Method::Put => self.put(block, exchange).await,
            Method::Head => self.head(&block),
            Method::Get => self.get(block, &exchange).await,
            _ => self.free(block).await,
        }
    }

    /// Reads key, operation and ticket of a block request.
    fn check(&self, req: &Request) -> Result<BlockRequest, StatusCode> {
        let key = req.url().path().strip_prefix("/blocks/");
        let key = key.and_then(|k| k.parse().ok());
        let key: BlockKey = key.ok_or(StatusCode::NotFound)?;
        let operation = match req.method() {
            Method::Put | Method::Head => Operation::Write,
            Method::Get => Operation::Read,
            Method::Delete => Operation::Free,
            _ => return Err(StatusCode::MethodNotAllowed),
        };
        let ticket = header(req, TICKET_HEADER).unwrap_or_default();
        let customer = self.customer(ticket, operation, &key);
        let customer = customer.ok_or(StatusCode::Forbidden)?;
        Ok(BlockRequest { key, customer })
    }

    fn customer(&self, ticket: &str, operation: Operation, key: &BlockKey) -> Option<Name> {
        let ticket: Ticket = ticket.parse().ok()?;
        let checked = ticket.check(&self.secret, operation, key, clock::unix_ms());
        checked.ok().map(|()| ticket.customer)
    }

    /// Decides on an upload before its bytes are read.
    async fn admit_upload(
        &self,
        block: Result<BlockRequest, StatusCode>,
        digest_given: bool,
        bytes: u64,
    ) -> Result<Box<dyn BodyGate>, Response> {
        let block = block.map_err(Response::new)?;
        if !digest_given {
            return Err(Response::new(StatusCode::BadRequest));
        }
        if bytes > self.block_bytes {
            return Err(Response::new(StatusCode::PayloadTooLarge));
        }
        if let Some(why) = self.core.refusal(&block.key, &block.customer, bytes) {
            return Err(Response::new(status_of(why)));
        }
        let opened = self
            .core
            .throttle
            .open(&block.customer, Urgency::Background, bytes);
        let mut transfer = opened.map_err(busy)?;
        transfer.start().await;
        Ok(Box::new(UploadGate(transfer)))
    }

    async fn put(&self, block: BlockRequest, exchange: Exchange) -> Response {
        let stated = digest_of(&exchange.req);
        let Some(digest) = stated else {
            return Response::new(StatusCode::BadRequest);
        };
        let parent = exchange.header(PARENT_HEADER).and_then(|p| p.parse().ok());
        let info = BlockInfo {
            key: block.key,
            customer: block.customer,
            parent,
            bytes: exchange.body.len() as u64,
        };
        self.count_bytes("in", info.bytes);
        let core = self.core.clone();
        let stored = to_its_end(move || core.store(info, digest, exchange.body)).await;
        Response::new(match stored {
            Some(PutOutcome::Stored) => StatusCode::Created,
            Some(PutOutcome::BadDigest) => StatusCode::BadRequest,
            Some(PutOutcome::Rejected(why)) => status_of(why),
            Some(PutOutcome::Failed) | None => StatusCode::InternalServerError,
        })
    }

    fn head(&self, block: &BlockRequest) -> Response {
        let refusal = self.core.refusal(&block.key, &block.customer, 0);
        Response::new(refusal.map_or(StatusCode::NotFound, status_of))
    }

    async fn get(&self, block: BlockRequest, exchange: &Exchange) -> Response {
        let urgency = match exchange.header(PRIORITY_HEADER) {
            Some("background") => Urgency::Background,
            _ => Urgency::Interactive,
        };
        let fetched = Box::pin(self.core.fetch(block.key, block.customer, urgency)).await;
        let (payload, pinned, transfer) = match fetched {
            Fetched::Block(payload, pinned, transfer) => (payload, pinned, transfer),
            Fetched::Miss => return Response::new(StatusCode::NotFound),
            Fetched::Busy(wait) => return busy(wait),
        };
        self.count_bytes("out", payload.bytes.len() as u64);
        let len = payload.bytes.len();
        let mut res = Response::new(StatusCode::Ok);
        res.insert_header(DIGEST_HEADER, payload.digest.to_hex().as_str());
        let body = PacedBody::new(payload, pinned, transfer);
        res.set_body(Body::from_reader(body, Some(len)));
        res
    }

    async fn free(&self, block: BlockRequest) -> Response {
        let core = self.core.clone();
        let freed = to_its_end(move || core.free(block.key, block.customer)).await;
        Response::new(match freed {
            Some(Ok(())) => StatusCode::NoContent,
            Some(Err(_)) | None => StatusCode::InternalServerError,
        })
    }

    fn held(&self, body: &[u8]) -> Response {
        let ask = serde_json::from_slice::<HeldRequest>(body).ok();
        let ask = ask.filter(|ask| (1..=PROBE_KEYS).contains(&ask.keys.len()));
        let Some(ask) = ask else {
            return Response::new(StatusCode::BadRequest);
        };
        let customer = self.customer(&ask.ticket, Operation::Probe, &ask.keys[0]);
        let Some(customer) = customer else {
            return Response::new(StatusCode::Forbidden);
        };
        let (blocks, bytes) = self.core.prefix(&customer, &ask.keys);
        let held = Held {
            blocks,
            queue_bytes: self.core.throttle.queue_bytes(&customer, bytes),
            link_bytes_per_second: self.core.throttle.bytes_per_second(),
            block_bytes: bytes / u64::from(blocks.max(1)),
        };
        let mut res = Response::new(StatusCode::Ok);
        res.set_body(serde_json::to_vec(&held).unwrap_or_default());
        res.insert_header("content-type", "application/json");
        res
    }

    fn count_bytes(&self, direction: &str, bytes: u64) {
        let metric = self.core.metrics.bytes.with_label_values(&[direction]);
        metric.inc_by(bytes);
    }

    fn count(&self, method: Method, path: &str, status: StatusCode) {
        let operation = match method {
            Method::Put => "put",
            Method::Head => "head",
            Method::Get => "get",
            Method::Delete => "free",
            Method::Post if path == "/held" => "held",
            _ => "other",
        };
        let labels = [operation, &u16::from(status).to_string()];
        self.core.metrics.requests.with_label_values(&labels).inc();
    }
}

impl Handler for Blocks {
    fn handle(self: Arc<Self>, exchange: Exchange) -> Reply {
        Box::pin(async move {
            let method = exchange.req.method();
            let path = exchange.req.url().path().to_owned();
            let res = Box::pin(self.answer(exchange)).await;
            self.count(method, &path, res.status());
            res
        })
    }

    fn admit(self: Arc<Self>, head: &Request, body: Framing) -> Option<Admission> {
        let (method, path) = (head.method(), head.url().path().to_owned());
        let refuse =
            |status| Some(Box::pin(async move { Err(Response::new(status)) }) as Admission);
        let bytes = match body {
            Framing::Unstated if method == Method::Put => 0,
            Framing::Unstated => return None,
            Framing::Chunked => return refuse(StatusCode::LengthRequired),
            Framing::Length(bytes) => bytes,
        };
        if method != Method::Put {
            let fits = bytes <= QUESTION_BYTES;
            return if fits {
                None
            } else {
                refuse(StatusCode::PayloadTooLarge)
            };
        }
        let block = self.check(head);
        let digest_given = digest_of(head).is_some();
        Some(Box::pin(async move {
            let admitted = self.admit_upload(block, digest_given, bytes).await;
            if let Err(res) = &admitted {
                self.count(method, &path, res.status());
            }
            admitted
        }))
    }
}

/// Runs `f` on a thread that may block, to its end also when the caller leaves.
async fn to_its_end<T: Send + 'static>(f: impl FnOnce() -> T + Send + 'static) -> Option<T> {
    let (tx, rx) = async_channel::bounded(1);
    let work = move || {
        let _ = tx.try_send(f());
    };
    blocking::unblock(work).detach();
    rx.recv().await.ok()
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.header(name).map(|v| v.last().as_str())
}

fn digest_of(req: &Request) -> Option<blake3::Hash> {
    let text = header(req, DIGEST_HEADER)?;
    blake3::Hash::from_hex(text).ok()
}

fn status_of(why: Rejection) -> StatusCode {
    match why {
        Rejection::Held => StatusCode::Ok,
        Rejection::NotOwner => StatusCode::Forbidden,
        Rejection::Full => StatusCode::InsufficientStorage,
        Rejection::Freed => StatusCode::Conflict,
    }
}

fn busy(wait: Duration) -> Response {
    let status = StatusCode::ServiceUnavailable;
    let problem = Problem::not_run(status, "link-busy", "the link is busy");
    problem.with_retry_after(wait).into_response()
}
