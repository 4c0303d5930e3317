//! Listening sockets of a gateway.

use std::io;
use std::net::{SocketAddr, TcpListener};

use async_io::Async;

use crate::gateway::GatewayBuilder;
use crate::prelude::*;

/// Listening sockets of a gateway.
pub(super) struct Listeners {
    /// For callers.
    pub callers: Arc<Async<TcpListener>>,
    /// For the load balancer's readiness checks.
    pub probe: TcpListener,
    /// For peers.
    pub peers: Arc<Async<TcpListener>>,
    /// For metrics, on an address of their own.
    pub metrics: Option<TcpListener>,
}

impl Listeners {
    /// Binds the addresses of a gateway.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub(super) fn bind(cfg: &GatewayBuilder) -> io::Result<Self> {
        Ok(Self {
            callers: Arc::new(Async::new(listen(cfg.caller_addr, "callers")?)?),
            probe: listen(cfg.probe_addr, "readiness")?,
            peers: Arc::new(Async::new(listen(cfg.peer_addr, "peers")?)?),
            metrics: cfg.metrics.map(|a| listen(a, "metrics")).transpose()?,
        })
    }
}

/// Binds a listening address; the error names the address and what it is for.
fn listen(addr: SocketAddr, role: &str) -> io::Result<TcpListener> {
    TcpListener::bind(addr).map_err(|err| {
        let reason = format!("cannot listen on {addr} for {role}: {err}");
        io::Error::new(err.kind(), reason)
    })
}
