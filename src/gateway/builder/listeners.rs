//! Listening sockets of a gateway and the tasks that accept connections.

use std::io;
use std::net::{SocketAddr, TcpListener};

use async_io::Async;

use crate::gateway::GatewayBuilder;
use crate::gateway::listener::accept;
use crate::gateway::probe::ProbeHandler;
use crate::gateway::shared::Shared;
use crate::http::{Limits, Server, ServerControl};
use crate::latch::Latch;
use crate::peer::Mesh;
use crate::prelude::*;
use crate::supervisor::{SupervisedTask, Supervisor};

/// Limits on readiness checks and on scrapes of metrics, which have no bodies.
const PROBE_LIMITS: Limits = Limits {
    head_bytes: 8 * 1024 - 1,
    body_bytes: 1024,
    message_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_mins(2),
    connections: 128,
    request_bytes: 2 * 1024 * 1024,
};

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

/// Serves readiness checks and scrapes of metrics.
///
/// # Errors
/// When the listener cannot be registered with the reactor.
pub(super) fn spawn_probe_server(
    listener: TcpListener,
    cfg: &GatewayBuilder,
    shared: &Arc<Shared>,
    supervisor: &Supervisor,
) -> io::Result<()> {
    let handler = Arc::new(ProbeHandler {
        shared: shared.clone(),
        ready_path: shared.dialect.ready_path().into(),
    });
    let limits = Limits {
        connections: cfg.intake.connections.min(PROBE_LIMITS.connections),
        ..PROBE_LIMITS
    };
    let server = Server::new(listener, limits, handler, Arc::<ServerControl>::default())?;
    let (server, connections) = (Arc::new(server), supervisor.clone());
    supervisor.keep(SupervisedTask::required("probe_listener"), move || {
        server.clone().run(connections.clone())
    });
    Ok(())
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
