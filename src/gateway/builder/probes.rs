//! The servers of readiness checks and metrics.

use std::io;
use std::net::{SocketAddr, TcpListener};

use crate::gateway::GatewayBuilder;
use crate::gateway::probe::ProbeHandler;
use crate::gateway::shared::Shared;
use crate::http::{Limits, Server};
use crate::listen::{ListenAddress, listen_when_free};
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

impl GatewayBuilder {
    /// Serves readiness checks, and metrics as soon as their own address is free.
    ///
    /// # Errors
    /// When the listener cannot be registered with the reactor.
    pub(super) fn spawn_probe_servers(
        &self,
        listener: TcpListener,
        shared: &Arc<Shared>,
        supervisor: &Supervisor,
    ) -> io::Result<()> {
        let limits = Limits {
            connections: self.intake.connections.min(PROBE_LIMITS.connections),
            ..PROBE_LIMITS
        };
        let handler = Arc::new(ProbeHandler {
            shared: shared.clone(),
            ready_path: shared.dialect.ready_path().into(),
        });
        let server = Server::new(listener, limits.clone(), handler.clone(), Arc::default())?;
        let (server, connections) = (Arc::new(server), supervisor.clone());
        supervisor.keep(SupervisedTask::required("probe_listener"), move || {
            server.clone().run(connections.clone())
        });
        if let Some(addr) = self.metrics {
            let connections = supervisor.clone();
            supervisor.keep(SupervisedTask::retried("metrics_listener"), move || {
                serve_metrics(addr, limits.clone(), handler.clone(), connections.clone())
            });
        }
        Ok(())
    }
}

/// Serves metrics as soon as their address is free; an entry serves callers without it.
async fn serve_metrics(
    addr: SocketAddr,
    limits: Limits,
    handler: Arc<ProbeHandler>,
    supervisor: Supervisor,
) {
    let role = "metrics";
    let listener = listen_when_free(ListenAddress { role, addr }).await;
    match Server::new(listener, limits, handler, Arc::default()) {
        Ok(server) => Arc::new(server).run(supervisor).await,
        Err(err) => log::warn!("event=metrics_failed error={:?}", err.to_string()),
    }
}
