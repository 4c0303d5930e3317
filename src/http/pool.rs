//! Pool of idle client connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use http_types::{Request, StatusCode};

use crate::http::{ClientResponse, Connection, ExchangeError};

/// Maximum number of idle connections for each address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

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

/// Idle connections by address; only those whose last response ended cleanly are reused.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    connect_timeout: Duration,
}

impl Pool {
    /// Makes an empty pool; each new connection must be made within `connect_timeout`.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            idle: Mutex::default(),
            connect_timeout,
        }
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
        self.clear(addr);
        let mut response = self.send_on_new_connection(addr, req).await?;
        let body = response.bytes(limit).await?;
        let status = response.res.status();
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
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(addr).or_default();
        if list.len() < MAX_IDLE_PER_ADDRESS {
            list.push(conn);
        }
    }

    /// Drops every idle connection to `addr`.
    pub fn clear(&self, addr: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&addr);
    }

    fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&addr)?;
        while let Some(conn) = list.pop() {
            if !conn.is_stale() {
                return Some(conn);
            }
        }
        None
    }
}
