//! Listening sockets of a gateway and the tasks that accept connections.

use std::io;
use std::net::TcpListener;

use async_io::Async;

use crate::gateway::GatewayBuilder;
use crate::gateway::listener::accept;
use crate::gateway::shared::Shared;
use crate::latch::Latch;
use crate::listen::{ListenAddress, TIME_WAIT, listen_at_all};
use crate::peer::Mesh;
use crate::prelude::*;
use crate::supervisor::{SupervisedTask, Supervisor};

/// Listening sockets that a gateway needs.
pub struct GatewayListeners {
    /// For callers.
    pub(super) callers: Arc<Async<TcpListener>>,
    /// For the load balancer's readiness checks.
    pub(super) probe: TcpListener,
    /// For peers.
    pub(super) peers: Arc<Async<TcpListener>>,
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
            callers: Arc::new(Async::new(callers)?),
            probe,
            peers: Arc::new(Async::new(peers)?),
        })
    }
}

/// Accepts and dials connections between entries.
pub(super) fn spawn_peer_listener(
    listener: Arc<Async<TcpListener>>,
    mesh: &Arc<Mesh>,
    supervisor: &Supervisor,
) {
    let (mesh, connections) = (mesh.clone(), supervisor.clone());
    supervisor.keep(SupervisedTask::required("peer_listener"), move || {
        mesh.clone().run(listener.clone(), connections.clone())
    });
}

/// Accepts callers' connections until `stop` is set.
pub(super) fn spawn_caller_listener(
    listener: Arc<Async<TcpListener>>,
    shared: &Arc<Shared>,
    supervisor: &Supervisor,
    stop: &Latch,
) {
    let (shared, stop) = (shared.clone(), stop.clone());
    let connections = supervisor.clone();
    let task = SupervisedTask::required("caller_listener").may_return();
    supervisor.keep(task, move || {
        let (shared, stop) = (shared.clone(), stop.clone());
        accept(listener.clone(), shared, connections.clone(), stop)
    });
}
