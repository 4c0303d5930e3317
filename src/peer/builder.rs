//! Builder of a [`Mesh`].

use std::net::SocketAddr;

use crate::peer::{Mesh, PeerEvents};
use crate::prelude::*;
use crate::secret::Secret;
use crate::telemetry::EntryMetrics;

/// Settings of a [`Mesh`].
#[derive(Clone, Debug)]
pub struct MeshBuilder {
    pub(crate) name: Name,
    pub(crate) domain: Name,
    pub(crate) boot: u64,
    pub(crate) secret: Secret,
    pub(crate) heartbeat: Duration,
    pub(crate) peer_timeout: Duration,
    pub(crate) full_mesh: bool,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) metrics: Option<Arc<EntryMetrics>>,
    pub(crate) max_handshakes: usize,
}

impl MeshBuilder {
    pub(crate) fn new(name: Name, domain: Name, secret: Secret) -> Self {
        Self {
            name,
            domain,
            boot: fastrand::u64(1..),
            secret,
            heartbeat: Duration::from_millis(500),
            peer_timeout: Duration::from_secs(2),
            full_mesh: false,
            seeds: Vec::new(),
            metrics: None,
            max_handshakes: 256,
        }
    }

    /// Sets the random identifier of this process run, by which peers notice a restart.
    #[must_use]
    pub fn boot(mut self, boot: u64) -> Self {
        self.boot = boot;
        self
    }

    /// Sets the heartbeat interval and the time without messages after which a peer counts as lost.
    #[must_use]
    pub fn timing(mut self, heartbeat: Duration, peer_timeout: Duration) -> Self {
        self.heartbeat = heartbeat;
        self.peer_timeout = peer_timeout;
        self
    }

    /// Links the entries of all failure domains in one full mesh, without bridges.
    #[must_use]
    pub fn full_mesh(mut self) -> Self {
        self.full_mesh = true;
        self
    }

    /// Sets addresses that are dialled even if the platform does not list them.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the metrics that count live peers and faults of connections.
    #[must_use]
    pub fn metrics(mut self, metrics: Arc<EntryMetrics>) -> Self {
        self.metrics = Some(metrics);
        self
    }

    /// Sets the number of accepted connections that may be in their handshake at once. Beyond it, those
    /// that are silent make way for new ones.
    #[must_use]
    pub fn max_handshakes(mut self, max: usize) -> Self {
        self.max_handshakes = max;
        self
    }

    /// Builds the mesh; it opens no links until [`Mesh::run`].
    #[must_use]
    pub fn build(self, events: Arc<dyn PeerEvents>) -> Arc<Mesh> {
        Mesh::with_settings(self, events)
    }
}
