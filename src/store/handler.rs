//! Block requests of engines and entries.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use http_types::{Method, Response, StatusCode};

use crate::cache::client::{DIGEST_HEADER, TICKET_HEADER};
use crate::cache::{BlockKey, Held, HeldRequest, Operation, Secret, Ticket};
use crate::clock;
use crate::http::{Exchange, Handler, Reply};
use crate::prelude::*;
use crate::settings::StoreSettings;
use crate::store::StoreMetrics;

struct Block {
    customer: Name,
    digest: blake3::Hash,
    bytes: Arc<Vec<u8>>,
}

/// Answers requests for blocks.
pub(crate) struct Blocks {
    secret: Secret,
    metrics: Arc<StoreMetrics>,
    link_bytes_per_second: u64,
    capacity: u64,
    index: Mutex<HashMap<BlockKey, Block>>,
}

impl Blocks {
    pub(crate) fn new(cfg: &StoreSettings, secret: Secret, metrics: Arc<StoreMetrics>) -> Self {
        Self {
            secret,
            metrics,
            link_bytes_per_second: cfg.link_bytes_per_second,
            capacity: cfg.memory_bytes,
            index: Mutex::default(),
        }
    }

    fn answer(&self, exchange: Exchange) -> Response {
        let path = exchange.req.url().path().to_owned();
        let method = exchange.req.method();
        if path == "/held" && method == Method::Post {
            return self.held(&exchange.body);
        }
        let key = path.strip_prefix("/blocks/").and_then(|k| k.parse().ok());
        let Some(key) = key else {
            return Response::new(StatusCode::NotFound);
        };
        let operation = match method {
            Method::Put | Method::Head => Operation::Write,
            Method::Get => Operation::Read,
            Method::Delete => Operation::Free,
            _ => return Response::new(StatusCode::MethodNotAllowed),
        };
        let ticket = exchange.header(TICKET_HEADER).unwrap_or_default();
        let Some(customer) = self.customer(ticket, operation, &key) else {
            return Response::new(StatusCode::Forbidden);
        };
        match method {
            Method::Put => self.put(key, customer, exchange),
            Method::Head => self.head(&key, &customer),
            Method::Get => self.get(&key, &customer),
            _ => self.free(&key, &customer),
        }
    }

    fn customer(&self, ticket: &str, operation: Operation, key: &BlockKey) -> Option<Name> {
        let ticket: Ticket = ticket.parse().ok()?;
        let checked = ticket.check(&self.secret, operation, key, clock::unix_ms());
        checked.ok().map(|()| ticket.customer)
    }

    fn put(&self, key: BlockKey, customer: Name, exchange: Exchange) -> Response {
        let digest = blake3::hash(&exchange.body);
        let stated = exchange.header(DIGEST_HEADER).unwrap_or_default();
        if blake3::Hash::from_hex(stated).ok() != Some(digest) {
            return Response::new(StatusCode::BadRequest);
        }
        let mut blocks = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(held) = blocks.get(&key) {
            return Response::new(if held.customer == customer {
                StatusCode::Ok
            } else {
                StatusCode::Forbidden
            });
        }
        let used: usize = blocks.values().map(|b| b.bytes.len()).sum();
        if (used + exchange.body.len()) as u64 > self.capacity {
            return Response::new(StatusCode::InsufficientStorage);
        }
        let bytes = Arc::new(exchange.body);
        blocks.insert(
            key,
            Block {
                customer,
                digest,
                bytes,
            },
        );
        self.metrics
            .blocks
            .set(i64::try_from(blocks.len()).unwrap_or(i64::MAX));
        Response::new(StatusCode::Created)
    }

    fn head(&self, key: &BlockKey, customer: &Name) -> Response {
        let blocks = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        let held = blocks.get(key).is_some_and(|b| b.customer == *customer);
        let mut res = Response::new(if held {
            StatusCode::Ok
        } else {
            StatusCode::NotFound
        });
        res.insert_header("content-length", "0");
        res
    }

    fn get(&self, key: &BlockKey, customer: &Name) -> Response {
        let blocks = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(block) = blocks.get(key).filter(|b| b.customer == *customer) else {
            return Response::new(StatusCode::NotFound);
        };
        let mut res = Response::new(StatusCode::Ok);
        res.insert_header(DIGEST_HEADER, block.digest.to_hex().as_str());
        res.set_body(block.bytes.to_vec());
        res
    }

    fn free(&self, key: &BlockKey, customer: &Name) -> Response {
        let mut blocks = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        if blocks.get(key).is_some_and(|b| b.customer == *customer) {
            blocks.remove(key);
        }
        Response::new(StatusCode::NoContent)
    }

    fn held(&self, body: &[u8]) -> Response {
        let Ok(ask) = serde_json::from_slice::<HeldRequest>(body) else {
            return Response::new(StatusCode::BadRequest);
        };
        let Some(first) = ask.keys.first() else {
            return Response::new(StatusCode::BadRequest);
        };
        let Some(customer) = self.customer(&ask.ticket, Operation::Probe, first) else {
            return Response::new(StatusCode::Forbidden);
        };
        let blocks = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        let held = ask.keys.iter().map_while(|k| blocks.get(k));
        let sizes: Vec<u64> = held
            .take_while(|b| b.customer == customer)
            .map(|b| b.bytes.len() as u64)
            .collect();
        let count = sizes.len() as u64;
        let held = Held {
            blocks: u32::try_from(count).unwrap_or(u32::MAX),
            queue_bytes: 0,
            link_bytes_per_second: self.link_bytes_per_second,
            block_bytes: sizes.iter().sum::<u64>() / count.max(1),
        };
        let mut res = Response::new(StatusCode::Ok);
        res.set_body(serde_json::to_vec(&held).unwrap_or_default());
        res.insert_header("content-type", "application/json");
        res
    }
}

impl Handler for Blocks {
    fn handle(self: Arc<Self>, exchange: Exchange) -> Reply {
        Box::pin(async move { self.answer(exchange) })
    }
}
