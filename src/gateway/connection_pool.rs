//! Pool of idle connections to targets.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use async_io::Async;
use futures_lite::FutureExt;

use crate::clock::coarse_sleep;
use crate::gateway::ConnectionHistory;
use crate::gateway::target_connection::TargetConnection;
use crate::gateway::target_stream::TargetStream;
use crate::http::{self, enable_dead_peer_detection};
use crate::prelude::*;
use crate::residency::AllowedDomains;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of idle connections for each target.
const MAX_IDLE_PER_TARGET: usize = 32;
/// Maximum number of requests refused on a connection that is kept.
const MAX_REFUSED_ON_CONNECTION: usize = 16;
/// Idle timeout of a target that does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(800);
/// Share of the stated idle timeout in which a connection is reused, since the target measures from
/// an earlier moment.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// The same share for requests that must not run twice: if the target closes the connection
/// meanwhile, they cannot be sent again on a new one.
const RUN_ONCE_IDLE_TIMEOUT_SHARE: f64 = 0.4;

/// What a request requires of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionNeeds<'a> {
    /// ID of the request.
    pub request: &'a str,
    /// Whether the request may run at most once.
    pub run_once: bool,
    /// Whether it may be sent on a connection that carried other requests.
    pub kept: bool,
    /// Failure domains of the peers that may relay it, if any are named.
    pub relays: Option<&'a AllowedDomains>,
}

impl ConnectionNeeds<'_> {
    /// Whether a connection may carry the request.
    fn are_met_by(&self, connection: &TargetConnection) -> bool {
        let fits = match connection.history(self.request) {
            ConnectionHistory::New => true,
            ConnectionHistory::Kept => self.kept,
            ConnectionHistory::RefusedBefore => false,
        };
        fits && connection.stream.is_allowed(self.relays)
    }
}

/// An idle connection and how long its target keeps it.
struct IdleConnection {
    connection: TargetConnection,
    idle_since: Instant,
    idle_timeout: Duration,
}

impl IdleConnection {
    fn is_within(&self, share: f64) -> bool {
        self.idle_since.elapsed() < self.idle_timeout.mul_f64(share)
    }
}

/// Idle connections to targets, by address.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection that meets the needs of a request; for one that must
    /// not run twice, only a connection that is far from its idle timeout.
    pub(crate) fn take(
        &self,
        addr: SocketAddr,
        needs: ConnectionNeeds<'_>,
    ) -> Option<TargetConnection> {
        let share = if needs.run_once {
            RUN_ONCE_IDLE_TIMEOUT_SHARE
        } else {
            IDLE_TIMEOUT_SHARE
        };
        let mut idle = self.lock();
        let connections = idle.get_mut(&addr)?;
        let usable = |idle: &IdleConnection| needs.are_met_by(&idle.connection);
        while let Some(at) = connections.iter().rposition(usable) {
            // The others have been idle for longer.
            if !connections[at].is_within(share) {
                return None;
            }
            let last = connections.remove(at).connection;
            if !last.stream.is_stale() {
                return Some(last);
            }
        }
        // The target counts all connections, so that a new one takes the place of the oldest.
        if !needs.kept && !connections.is_empty() {
            connections.remove(0);
        }
        None
    }

    /// Adds a new connection, or one whose exchange is complete; closes it if the pool has enough
    /// for this target.
    pub(crate) fn put(
        &self,
        addr: SocketAddr,
        connection: impl Into<TargetConnection>,
        idle_timeout: Option<Duration>,
    ) {
        let connection = connection.into();
        if connection.refused_count() > MAX_REFUSED_ON_CONNECTION {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(addr).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(IdleConnection {
                connection,
                idle_since: Instant::now(),
                idle_timeout: idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT),
            });
        }
    }

    /// Closes connections that have been idle for too long to be reused.
    pub(crate) fn sweep(&self) {
        self.lock().retain(|_, connections| {
            connections.retain(|idle| idle.is_within(IDLE_TIMEOUT_SHARE));
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to an address.
    pub(crate) fn clear(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    /// Closes this entry's own idle connections to an address.
    pub(crate) fn clear_direct(&self, addr: SocketAddr) {
        self.retain(addr, |stream| stream.peer().is_some());
    }

    /// Closes idle connections to an address that peers relay.
    pub(crate) fn clear_relayed(&self, addr: SocketAddr) {
        self.retain(addr, |stream| stream.peer().is_none());
    }

    fn retain(&self, addr: SocketAddr, keep: impl Fn(&TargetStream) -> bool) {
        if let Some(connections) = self.lock().get_mut(&addr) {
            connections.retain(|idle| keep(&idle.connection.stream));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection to a target.
///
/// # Errors
/// When the target cannot be connected to within [`CONNECT_TIMEOUT`].
pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Async<TcpStream>> {
    let connect = http::connect(addr);
    let timeout = async {
        coarse_sleep(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = connect.or(timeout).await?;
    enable_dead_peer_detection(stream.get_ref());
    Ok(stream)
}
