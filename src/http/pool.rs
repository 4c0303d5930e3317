//! Pool of idle client connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_types::{Request, StatusCode};

use crate::http::{ClientResponse, Connection, ExchangeError};

/// Maximum number of idle connections for each address.
const MAX_IDLE_PER_ADDRESS: usize = 32;
/// Time after its last use at which an idle connection is closed, unless another is set.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// A complete response and the header that was asked for.
#[derive(Clone, Debug)]
pub struct FetchedResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Value of the header; `None` if the response does not have it.
    pub header: Option<String>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// A connection and when it was last used.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Idle connections, and when those past their timeout were last closed.
#[derive(Debug)]
struct State {
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
    swept_at: Instant,
}

impl State {
    /// Closes the connections to all addresses that have been idle for too long, at most once in that
    /// time: most of them are to servers that are gone, whose addresses are never asked for again.
    fn sweep(&mut self, idle_timeout: Duration) {
        if self.swept_at.elapsed() < idle_timeout {
            return;
        }
        self.swept_at = Instant::now();
        self.idle.retain(|_, connections| {
            connections.retain(|idle| idle.since.elapsed() < idle_timeout);
            !connections.is_empty()
        });
    }
}

/// Idle connections by address; only those whose last response ended cleanly are reused.
#[derive(Debug)]
pub struct Pool {
    state: Mutex<State>,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

impl Pool {
    /// Makes an empty pool; each new connection must be made within `connect_timeout`.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            state: Mutex::new(State {
                idle: HashMap::new(),
                swept_at: Instant::now(),
            }),
            connect_timeout,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }

    /// Sets the time after its last use at which an idle connection is closed.
    #[must_use]
    pub fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Number of idle connections.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.lock().idle.values().map(Vec::len).sum()
    }

    /// Sends `req` on an idle connection, or on a new one when none is usable.
    ///
    /// # Errors
    /// See [`Connection::open`] and [`Connection::send`].
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request,
    ) -> Result<ClientResponse, ExchangeError> {
        let conn = match self.take(addr) {
            Some(conn) => conn,
            None => Connection::open(addr, self.connect_timeout).await?,
        };
        conn.send(req).await
    }

    /// Sends `req` on a new connection, for requests that must not be sent twice.
    ///
    /// The server may close an idle connection while a request is being sent on it; it is then
    /// unknown whether the server received the request.
    ///
    /// # Errors
    /// See [`Connection::open`] and [`Connection::send`].
    pub async fn send_on_new_connection(
        &self,
        addr: SocketAddr,
        req: Request,
    ) -> Result<ClientResponse, ExchangeError> {
        let conn = Connection::open(addr, self.connect_timeout).await?;
        conn.send(req).await
    }

    /// Sends `req`, reads a response body of at most `limit` bytes and returns the connection to
    /// the pool.
    ///
    /// # Errors
    /// Those of [`Pool::send`] and [`ClientResponse::bytes`].
    pub async fn fetch(
        &self,
        addr: SocketAddr,
        req: Request,
        limit: usize,
    ) -> Result<(StatusCode, Vec<u8>), ExchangeError> {
        let fetched = self.fetch_with_header(addr, req, limit, "").await?;
        Ok((fetched.status, fetched.body))
    }

    /// Does the same as [`Pool::fetch`] on a new connection, for responses that no ID assigns to their
    /// request: a late response to another request may arrive on an idle connection. The connection
    /// takes the place of all idle ones to `addr`.
    ///
    /// # Errors
    /// Those of [`Pool::fetch`].
    pub async fn fetch_on_new_connection(
        &self,
        addr: SocketAddr,
        req: Request,
        limit: usize,
    ) -> Result<(StatusCode, Vec<u8>), ExchangeError> {
        let mut response = self.send_on_new_connection(addr, req).await?;
        let body = response.bytes(limit).await?;
        let status = response.res.status();
        self.clear(addr);
        self.put(addr, response);
        Ok((status, body))
    }

    /// Does the same as [`Pool::fetch`] and returns the value of one response header as well.
    ///
    /// # Errors
    /// Those of [`Pool::fetch`].
    pub async fn fetch_with_header(
        &self,
        addr: SocketAddr,
        req: Request,
        limit: usize,
        header: &str,
    ) -> Result<FetchedResponse, ExchangeError> {
        let mut response = self.send(addr, req).await?;
        let body = response.bytes(limit).await?;
        let fetched = FetchedResponse {
            status: response.res.status(),
            header: response.header(header).map(str::to_owned),
            body,
        };
        self.put(addr, response);
        Ok(fetched)
    }

    /// Returns the connection of a fully read response to the pool, or closes it when it cannot be
    /// reused or the pool for `addr` is full.
    pub fn put(&self, addr: SocketAddr, response: ClientResponse) {
        let Some(conn) = response.into_connection() else {
            return;
        };
        let mut state = self.lock();
        state.sweep(self.idle_timeout);
        let list = state.idle.entry(addr).or_default();
        if list.len() < MAX_IDLE_PER_ADDRESS {
            list.push(IdleConnection {
                connection: conn,
                since: Instant::now(),
            });
        }
    }

    /// Drops every idle connection to `addr`.
    pub fn clear(&self, addr: SocketAddr) {
        self.lock().idle.remove(&addr);
    }

    fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut state = self.lock();
        let list = state.idle.get_mut(&addr)?;
        while let Some(idle) = list.pop() {
            if !idle.connection.is_stale() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
