//! Connections to targets, kept between exchanges.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use async_io::Async;
use futures_lite::FutureExt;

use crate::clock::coarse_sleep;
use crate::http::enable_dead_peer_detection;
use crate::prelude::*;

/// Longest time until a connection is made.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// Idle connections kept for each target.
const IDLE_PER_TARGET: usize = 32;
/// Time for which a connection is kept when the target states none.
const UNSTATED_IDLE: Duration = Duration::from_millis(800);
/// Part of the stated idle time that is used, since a target counts from an earlier moment.
const IDLE_PART: f64 = 0.7;
/// Part of it that is used for requests that must not run twice.
const CAREFUL_PART: f64 = 0.4;
struct Idle {
    stream: Async<TcpStream>,
    since: Instant,
    limit: Duration,
}

impl Idle {
    fn fits(&self, part: f64) -> bool {
        self.since.elapsed() < self.limit.mul_f64(part)
    }

    /// Tells whether the peer has closed it or sent bytes that nobody asked for.
    fn is_stale(&self) -> bool {
        let mut byte = [0];
        let peeked = self.stream.get_ref().peek(&mut byte);
        !matches!(peeked, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
    }
}

/// Connections to targets that are idle between two exchanges.
#[derive(Default)]
pub(crate) struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Connections {
    /// Takes the kept connection that was used last; `careful` asks for one far from its idle limit.
    pub(crate) fn take(&self, addr: SocketAddr, careful: bool) -> Option<Async<TcpStream>> {
        let part = if careful { CAREFUL_PART } else { IDLE_PART };
        let mut idle = self.lock();
        let kept = idle.get_mut(&addr)?;
        while let Some(last) = kept.pop() {
            if !last.fits(part) {
                // The others were used even earlier.
                kept.push(last);
                return None;
            }
            if !last.is_stale() {
                return Some(last.stream);
            }
        }
        None
    }

    /// Keeps a connection whose exchange ended cleanly.
    pub(crate) fn put(
        &self,
        addr: SocketAddr,
        stream: Async<TcpStream>,
        idle_time: Option<Duration>,
    ) {
        let mut idle = self.lock();
        let kept = idle.entry(addr).or_default();
        if kept.len() < IDLE_PER_TARGET {
            kept.push(Idle {
                stream,
                since: Instant::now(),
                limit: idle_time.unwrap_or(UNSTATED_IDLE),
            });
        }
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn sweep(&self) {
        self.lock().retain(|_, kept| {
            kept.retain(|idle| idle.fits(IDLE_PART));
            !kept.is_empty()
        });
    }

    /// Closes all idle connections to an address.
    pub(crate) fn clear(&self, addr: SocketAddr) {
        self.lock().remove(&addr);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes a connection.
///
/// # Errors
/// When none is made in time.
pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Async<TcpStream>> {
    let connect = Async::<TcpStream>::connect(addr);
    let late = async {
        coarse_sleep(CONNECT_TIME).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = connect.or(late).await?;
    enable_dead_peer_detection(stream.get_ref());
    Ok(stream)
}
