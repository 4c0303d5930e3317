//! TCP relay that simulates network partitions, delays and connections that go silent.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use guavahold::http::{IncomingRequest, ResponseFuture};
use http_types::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{ActiveFaults, Faults, Spawner, StandIn, StandInServer, response};

/// Maximum number of bytes forwarded with one read.
const CHUNK_BYTES: usize = 16 * 1024;
/// Interval at which connections check the relay state.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Network conditions that the relay simulates, as set by `POST /state`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayState {
    /// Closes all connections, and closes new ones as soon as they are accepted.
    pub cut: bool,
    /// Keeps connections open but forwards nothing.
    pub silent: bool,
    /// Forwards nothing more on the connections open at the time of the request; new ones work.
    ///
    /// These connections stay silent even if a later request clears the flag.
    pub silence_open: bool,
    /// Delay before each chunk is forwarded, in milliseconds.
    pub delay_ms: u64,
}

#[derive(Debug, Default)]
struct SharedState {
    state: RelayState,
    /// Number of the last connection silenced by `silence_open`.
    last_silenced: u64,
    connections_opened: u64,
}

/// Forwards TCP connections to one address.
#[derive(Debug)]
pub struct Relay {
    faults: ActiveFaults,
    shared: Arc<Mutex<SharedState>>,
    listener: Mutex<Option<TcpListener>>,
    forwarded_bytes: AtomicU64,
    listen_address: SocketAddr,
    to: SocketAddr,
}

impl Relay {
    /// Binds a relay from `listen` to `to`.
    ///
    /// Both ports of the returned server handle `/state`; neither is the forwarding port.
    ///
    /// # Errors
    /// When a port cannot be bound.
    pub fn bind(listen: SocketAddr, to: SocketAddr) -> io::Result<StandInServer<Self>> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let relay = Self {
            faults: ActiveFaults::default(),
            shared: Arc::default(),
            listener: Mutex::new(Some(listener)),
            forwarded_bytes: AtomicU64::new(0),
            listen_address: address,
            to,
        };
        StandInServer::bind(relay, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Address whose connections are forwarded.
    #[must_use]
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Bytes forwarded so far in both directions.
    #[must_use]
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }

    /// Replaces the simulated conditions.
    pub fn set_state(&self, state: RelayState) {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        if state.silence_open {
            shared.last_silenced = shared.connections_opened;
        }
        shared.state = state;
    }

    fn state(&self) -> RelayState {
        let shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        shared.state.clone()
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, spawner: Spawner) {
        let Ok(listener) = Async::new(listener) else {
            return;
        };
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(STATE_POLL_INTERVAL).await;
                continue;
            };
            if !self.state().cut {
                spawner.spawn(self.clone().forward(stream));
            }
        }
    }

    async fn forward(self: Arc<Self>, inbound: Async<TcpStream>) {
        let number = {
            let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
            shared.connections_opened += 1;
            shared.connections_opened
        };
        let Ok(outbound) = Async::<TcpStream>::connect(self.to).await else {
            return;
        };
        let _ = inbound.get_ref().set_nodelay(true);
        let _ = outbound.get_ref().set_nodelay(true);
        let both = futures_lite::future::zip(
            self.copy(&inbound, &outbound, number),
            self.copy(&outbound, &inbound, number),
        );
        let done = async {
            both.await;
        };
        let cut = async {
            while !self.state().cut {
                Timer::after(STATE_POLL_INTERVAL).await;
            }
        };
        done.or(cut).await;
    }

    async fn copy(&self, from: &Async<TcpStream>, to: &Async<TcpStream>, number: u64) {
        let (mut rx, mut tx) = (from, to);
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            let Ok(n) = rx.read(&mut buf).await else {
                let _ = tx.get_ref().shutdown(Shutdown::Both);
                return;
            };
            let delay = self.state().delay_ms;
            if delay > 0 {
                Timer::after(Duration::from_millis(delay)).await;
            }
            while self.is_silent(number) {
                Timer::after(STATE_POLL_INTERVAL).await;
            }
            if n == 0 {
                let _ = tx.get_ref().shutdown(Shutdown::Write);
                return;
            }
            self.forwarded_bytes.fetch_add(n as u64, Ordering::Relaxed);
            if tx.write_all(&buf[..n]).await.is_err() {
                let _ = rx.get_ref().shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn is_silent(&self, number: u64) -> bool {
        let shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        shared.state.silent || number <= shared.last_silenced
    }
}

impl StandIn for Relay {
    fn handle(self: Arc<Self>, request: IncomingRequest, _faults: Faults) -> ResponseFuture {
        Box::pin(async move { self.handle_admin(&request) })
    }

    fn handle_admin(&self, request: &IncomingRequest) -> Response {
        if request.req.url().path() != "/state" {
            return response::message(StatusCode::NotFound, "no such path");
        }
        if !request.body.is_empty() {
            match serde_json::from_slice(&request.body) {
                Ok(state) => self.set_state(state),
                Err(err) => return response::message(StatusCode::BadRequest, &err.to_string()),
            }
        }
        response::json(StatusCode::Ok, &self.state())
    }

    fn faults(&self) -> &ActiveFaults {
        &self.faults
    }

    fn start(self: Arc<Self>, spawner: Spawner) {
        let listener = self
            .listener
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(listener) = listener {
            let task = self.accept(listener, spawner.clone());
            spawner.spawn(task);
        }
    }
}
