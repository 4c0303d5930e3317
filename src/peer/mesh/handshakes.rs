//! Count of the accepted connections that are in their handshake.

use std::sync::atomic::Ordering;

use crate::peer::Mesh;
use crate::prelude::*;

impl Mesh {
    /// Counts an accepted connection as being in its handshake until the guard is dropped.
    pub(crate) fn count_handshake(self: &Arc<Self>) -> HandshakeGuard {
        self.handshakes.fetch_add(1, Ordering::Relaxed);
        HandshakeGuard(self.clone())
    }
}

/// Guard of an accepted connection during its handshake.
pub(crate) struct HandshakeGuard(Arc<Mesh>);

impl Drop for HandshakeGuard {
    fn drop(&mut self) {
        self.0.handshakes.fetch_sub(1, Ordering::Relaxed);
    }
}
