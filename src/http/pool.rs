//! Reuses connections whose last exchange ended cleanly.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use http_types::Request;

use crate::http::{Answer, Connection, ExchangeError};

/// Idle connections kept for each address.
const IDLE_PER_ADDRESS: usize = 32;

/// Idle connections by address.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    connect_timeout: Duration,
}

impl Pool {
    /// Makes an empty pool that waits `connect_timeout` for each new connection.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            idle: Mutex::default(),
            connect_timeout,
        }
    }

    /// Sends `req` on a pooled connection, or a new one when none is usable.
    ///
    /// # Errors
    /// See [`Connection::open`] and [`Connection::send`].
    pub async fn send(&self, addr: SocketAddr, req: Request) -> Result<Answer, ExchangeError> {
        let conn = match self.take(addr) {
            Some(conn) => conn,
            None => Connection::open(addr, self.connect_timeout).await?,
        };
        conn.send(req).await
    }

    /// Sends `req` on a new connection, for requests that must not be repeated.
    ///
    /// # Errors
    /// See [`Connection::open`] and [`Connection::send`].
    pub async fn send_fresh(
        &self,
        addr: SocketAddr,
        req: Request,
    ) -> Result<Answer, ExchangeError> {
        let conn = Connection::open(addr, self.connect_timeout).await?;
        conn.send(req).await
    }

    /// Sends `req`, reads the whole answer of at most `limit` bytes and pools the connection.
    ///
    /// # Errors
    /// Those of [`Pool::send`] and [`Answer::bytes`].
    pub async fn fetch(
        &self,
        addr: SocketAddr,
        req: Request,
        limit: usize,
    ) -> Result<(http_types::StatusCode, Vec<u8>), ExchangeError> {
        let mut answer = self.send(addr, req).await?;
        let body = answer.bytes(limit).await?;
        let status = answer.res.status();
        self.put(addr, answer);
        Ok((status, body))
    }

    /// Keeps the connection of a fully read answer.
    pub fn put(&self, addr: SocketAddr, answer: Answer) {
        let Some(conn) = answer.into_connection() else {
            return;
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(addr).or_default();
        if list.len() < IDLE_PER_ADDRESS {
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
