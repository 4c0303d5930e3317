//! The servers of readiness checks and metrics.

use std::io;
use std::net::{SocketAddr, TcpListener};

use async_executor::Executor;

use crate::gateway::GatewayBuilder;
use crate::gateway::probe::ProbeHandler;
use crate::gateway::shared::Shared;
use crate::http::{Limits, Server, ServerControl};
use crate::listen::{ListenAddress, listen_when_free};
use crate::prelude::*;

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
    pub(super) fn serve_probes(
        &self,
        listener: TcpListener,
        shared: &Arc<Shared>,
        ex: &Arc<Executor<'static>>,
    ) -> io::Result<()> {
        let limits = Limits {
            connections: self.intake.connections.min(PROBE_LIMITS.connections),
            ..PROBE_LIMITS
        };
        let handler = Arc::new(ProbeHandler {
            shared: shared.clone(),
            ready_path: shared.dialect.ready_path().into(),
        });
        let control = Arc::new(ServerControl::default());
        let server = Server::new(listener, limits.clone(), handler.clone(), control)?;
        ex.spawn(server.run(ex.clone())).detach();
        if let Some(addr) = self.metrics {
            let serve = serve_metrics(addr, limits, handler, ex.clone());
            ex.spawn(serve).detach();
        }
        Ok(())
    }
}

/// Serves metrics as soon as their address is free; an entry serves callers without it.
async fn serve_metrics(
    addr: SocketAddr,
    limits: Limits,
    handler: Arc<ProbeHandler>,
    ex: Arc<Executor<'static>>,
) {
    let role = "metrics";
    let listener = listen_when_free(ListenAddress { role, addr }).await;
    match Server::new(listener, limits, handler, Arc::default()) {
        Ok(server) => server.run(ex).await,
        Err(err) => log::warn!("event=metrics_failed error={:?}", err.to_string()),
    }
}
