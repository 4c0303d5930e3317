//! Listening sockets of a gateway.

use std::io;
use std::net::TcpListener;

use async_io::Async;

use crate::gateway::GatewayBuilder;
use crate::listen::{ListenAddress, TIME_WAIT, listen_at_all};

/// Listening sockets that a gateway needs.
pub struct GatewayListeners {
    /// For callers.
    pub(super) callers: Async<TcpListener>,
    /// For the load balancer's readiness checks.
    pub(super) probe: TcpListener,
    /// For peers.
    pub(super) peers: TcpListener,
}

impl GatewayBuilder {
    /// Listens at the addresses for callers, readiness checks and peers. Waits while one of them is
    /// held, at most for the time that a predecessor may take to end and its connections to expire.
    ///
    /// # Errors
    /// When an address cannot be had; the error names it.
    pub async fn listen(&self) -> io::Result<GatewayListeners> {
        let addresses = [
            ("callers", self.caller_addr),
            ("readiness", self.probe_addr),
            ("peers", self.peer_addr),
        ];
        let addresses = addresses.map(|(role, addr)| ListenAddress { role, addr });
        let timeout = self.shutdown_timeout + TIME_WAIT;
        let [callers, probe, peers] = listen_at_all(addresses, timeout).await?;
        Ok(GatewayListeners {
            callers: Async::new(callers)?,
            probe,
            peers,
        })
    }
}
