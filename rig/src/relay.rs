//! A TCP relay that stands in for a network that parts, stalls or loses track of connections.

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

use crate::{FaultBox, Faults, Host, Spawner, StandIn, response};

/// Bytes forwarded at once.
const CHUNK: usize = 16 * 1024;
/// Pause between two looks at the state.
const POLL: Duration = Duration::from_millis(10);

/// How the relay treats its connections, as given to `POST /state`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayState {
    /// Whether every connection is closed and new ones are refused.
    pub cut: bool,
    /// Whether nothing is forwarded any more on connections, which stay open.
    pub silent: bool,
    /// Whether connections that are open now stay silent for good while new ones work.
    pub silence_open: bool,
    /// Delay of each chunk, in milliseconds.
    pub delay_ms: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: RelayState,
    /// Connections older than this number are silent.
    silent_before: u64,
    opened: u64,
}

/// Forwards connections to one address.
#[derive(Debug)]
pub struct Relay {
    faults: FaultBox,
    shared: Arc<Mutex<Shared>>,
    listener: Mutex<Option<TcpListener>>,
    bytes: AtomicU64,
    address: SocketAddr,
    to: SocketAddr,
}

impl Relay {
    /// Binds a relay to `to`; its host's own port shows the state as the admin port does.
    ///
    /// # Errors
    /// When a port cannot be bound.
    pub fn bind(listen: SocketAddr, to: SocketAddr) -> io::Result<Host<Self>> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let relay = Self {
            faults: FaultBox::default(),
            shared: Arc::default(),
            listener: Mutex::new(Some(listener)),
            bytes: AtomicU64::new(0),
            address,
            to,
        };
        Host::bind(relay, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Address that is forwarded.
    #[must_use]
    pub fn forwarded(&self) -> SocketAddr {
        self.address
    }

    /// Bytes forwarded so far in both directions.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Changes how connections are treated.
    pub fn set(&self, state: RelayState) {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        if state.silence_open {
            shared.silent_before = shared.opened;
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
                Timer::after(POLL).await;
                continue;
            };
            if !self.state().cut {
                spawner.spawn(self.clone().forward(stream));
            }
        }
    }

    async fn forward(self: Arc<Self>, near: Async<TcpStream>) {
        let number = {
            let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
            shared.opened += 1;
            shared.opened
        };
        let Ok(far) = Async::<TcpStream>::connect(self.to).await else {
            return;
        };
        let _ = near.get_ref().set_nodelay(true);
        let _ = far.get_ref().set_nodelay(true);
        let both = futures_lite::future::zip(
            self.copy(&near, &far, number),
            self.copy(&far, &near, number),
        );
        let done = async {
            both.await;
        };
        let cut = async {
            while !self.state().cut {
                Timer::after(POLL).await;
            }
        };
        done.or(cut).await;
    }

    async fn copy(&self, from: &Async<TcpStream>, to: &Async<TcpStream>, number: u64) {
        let (mut rx, mut tx) = (from, to);
        let mut buf = vec![0; CHUNK];
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
                Timer::after(POLL).await;
            }
            if n == 0 {
                let _ = tx.get_ref().shutdown(Shutdown::Write);
                return;
            }
            self.bytes.fetch_add(n as u64, Ordering::Relaxed);
            if tx.write_all(&buf[..n]).await.is_err() {
                let _ = rx.get_ref().shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn is_silent(&self, number: u64) -> bool {
        let shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        shared.state.silent || number <= shared.silent_before
    }
}

impl StandIn for Relay {
    fn serve(self: Arc<Self>, exchange: IncomingRequest, _faults: Faults) -> ResponseFuture {
        Box::pin(async move { self.administer(&exchange) })
    }

    fn administer(&self, exchange: &IncomingRequest) -> Response {
        if exchange.req.url().path() != "/state" {
            return response::message(StatusCode::NotFound, "no such path");
        }
        if !exchange.body.is_empty() {
            match serde_json::from_slice(&exchange.body) {
                Ok(state) => self.set(state),
                Err(err) => return response::message(StatusCode::BadRequest, &err.to_string()),
            }
        }
        response::json(StatusCode::Ok, &self.state())
    }

    fn faults(&self) -> &FaultBox {
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
