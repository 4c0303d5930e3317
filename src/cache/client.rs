//! Client of the stores.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;

use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Method, Request, StatusCode, Url};

use crate::cache::{BlockKey, Held, HeldRequest, Operation, Secret, Ticket};
use crate::clock;
use crate::http::{ExchangeError, Pool};
use crate::prelude::*;

/// Header of the ticket's text.
pub(crate) const TICKET_HEADER: &str = "guavahold-ticket";
/// Header of the BLAKE3 hash of a block's bytes, hexadecimal.
pub(crate) const DIGEST_HEADER: &str = "guavahold-digest";
/// Header that orders transfers on the store's link.
pub(crate) const PRIORITY_HEADER: &str = "guavahold-priority";
/// Header of the key of the block before this one in its prefix.
pub(crate) const PARENT_HEADER: &str = "guavahold-parent";
/// Longest answer to a probe, in bytes.
const PROBE_ANSWER_BYTES: usize = 4096;
/// Longest block read, in bytes.
const BLOCK_BYTES: usize = 1 << 30;
/// Life of the tickets that the client issues for its own calls.
const TICKET_LIFE: Duration = Duration::from_secs(30);

/// Why a store call failed.
#[derive(Debug)]
pub enum StoreError {
    /// The exchange failed.
    Exchange(ExchangeError),
    /// The store answered with an unexpected status.
    Refused(StatusCode),
    /// The block's bytes do not fit its digest.
    Corrupt,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exchange(err) => err.fmt(f),
            Self::Refused(status) => write!(f, "store answered {status}"),
            Self::Corrupt => f.write_str("block does not fit its digest"),
        }
    }
}

impl std::error::Error for StoreError {}

impl From<ExchangeError> for StoreError {
    fn from(err: ExchangeError) -> Self {
        Self::Exchange(err)
    }
}

/// Asks stores for blocks; shared by all tasks of a process.
#[derive(Debug)]
pub struct StoreClient {
    secret: Secret,
    pool: Pool,
}

impl StoreClient {
    /// Makes a client that signs its own tickets with `secret`.
    #[must_use]
    pub fn new(secret: Secret, connect_timeout: Duration) -> Self {
        Self {
            secret,
            pool: Pool::new(connect_timeout),
        }
    }

    /// Asks how many of `keys` a store holds; `None` when it does not answer within `budget`.
    pub async fn held(
        &self,
        store: SocketAddr,
        customer: &Name,
        keys: &[BlockKey],
        budget: Duration,
    ) -> Option<Held> {
        let first = keys.first()?;
        let body = HeldRequest {
            ticket: self.ticket(Operation::Probe, customer, first),
            keys: keys.to_vec(),
        };
        let mut req = request(Method::Post, store, "held")?;
        req.set_body(serde_json::to_vec(&body).ok()?);
        let ask = async {
            let (status, body) = self.pool.fetch(store, req, PROBE_ANSWER_BYTES).await.ok()?;
            let held: Held = serde_json::from_slice(&body).ok()?;
            (status == StatusCode::Ok).then_some(held)
        };
        Box::pin(within(budget, ask)).await.flatten()
    }

    /// Stores a block; `false` when the store already held it, in which case no byte of the block
    /// was sent.
    ///
    /// # Errors
    /// When the exchange fails or the store refuses the block.
    pub async fn put(
        &self,
        store: SocketAddr,
        key: &BlockKey,
        ticket: &str,
        parent: Option<&BlockKey>,
        bytes: Vec<u8>,
    ) -> Result<bool, StoreError> {
        let mut ask = block_request(Method::Head, store, key, ticket)?;
        let digest = blake3::hash(&bytes).to_hex();
        ask.insert_header(DIGEST_HEADER, digest.as_str());
        match self.exchange(store, ask).await? {
            StatusCode::Ok => return Ok(false),
            StatusCode::NotFound => {}
            status => return Err(StoreError::Refused(status)),
        }
        let mut req = block_request(Method::Put, store, key, ticket)?;
        req.insert_header(DIGEST_HEADER, digest.as_str());
        if let Some(parent) = parent {
            req.insert_header(PARENT_HEADER, parent.to_string());
        }
        req.set_body(bytes);
        match self.exchange(store, req).await? {
            StatusCode::Created => Ok(true),
            StatusCode::Ok => Ok(false),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Reads a block and checks its digest; `None` when the store does not hold it.
    ///
    /// # Errors
    /// When the exchange fails, the ticket is refused or the bytes do not fit the digest.
    pub async fn get(
        &self,
        store: SocketAddr,
        key: &BlockKey,
        ticket: &str,
        interactive: bool,
    ) -> Result<Option<Vec<u8>>, StoreError> {
        let mut req = block_request(Method::Get, store, key, ticket)?;
        let priority = if interactive {
            "interactive"
        } else {
            "background"
        };
        req.insert_header(PRIORITY_HEADER, priority);
        let mut answer = self.pool.send(store, req).await?;
        let digest = answer.header(DIGEST_HEADER).map(str::to_owned);
        let bytes = answer.bytes(BLOCK_BYTES).await?;
        let status = answer.res.status();
        self.pool.put(store, answer);
        match status {
            StatusCode::Ok => {}
            StatusCode::NotFound => return Ok(None),
            status => return Err(StoreError::Refused(status)),
        }
        if digest.as_deref() != Some(blake3::hash(&bytes).to_hex().as_str()) {
            return Err(StoreError::Corrupt);
        }
        Ok(Some(bytes))
    }

    /// Frees a block; once this returns, no new reader gets it.
    ///
    /// # Errors
    /// When the exchange fails or the store refuses the ticket.
    pub async fn free(
        &self,
        store: SocketAddr,
        customer: &Name,
        key: &BlockKey,
    ) -> Result<(), StoreError> {
        let ticket = self.ticket(Operation::Free, customer, key);
        let req = block_request(Method::Delete, store, key, &ticket)?;
        match self.exchange(store, req).await? {
            StatusCode::NoContent => Ok(()),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Issues a ticket with a life of half a minute.
    #[must_use]
    pub fn ticket(&self, operation: Operation, customer: &Name, key: &BlockKey) -> String {
        let life = u64::try_from(TICKET_LIFE.as_millis()).unwrap_or(u64::MAX);
        let expires = clock::unix_ms().saturating_add(life);
        Ticket::issue(&self.secret, operation, customer, key, expires).to_string()
    }

    async fn exchange(&self, store: SocketAddr, req: Request) -> Result<StatusCode, StoreError> {
        let (status, _) = self.pool.fetch(store, req, PROBE_ANSWER_BYTES).await?;
        Ok(status)
    }
}

async fn within<T>(budget: Duration, f: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(budget).await;
        None
    };
    async { Some(f.await) }.or(late).await
}

fn request(method: Method, store: SocketAddr, path: &str) -> Option<Request> {
    let url = Url::parse(&format!("http://{store}/{path}")).ok()?;
    Some(Request::new(method, url))
}

fn block_request(
    method: Method,
    store: SocketAddr,
    key: &BlockKey,
    ticket: &str,
) -> Result<Request, StoreError> {
    let req = request(method, store, &format!("blocks/{key}"));
    let mut req = req.ok_or(StoreError::Refused(StatusCode::BadRequest))?;
    req.insert_header(TICKET_HEADER, ticket);
    Ok(req)
}
