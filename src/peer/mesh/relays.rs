//! Connections to targets that peers relay.

use std::net::SocketAddr;

use crate::peer::{
    Mesh, PROTOCOL_VERSION, PeerMessage, RelayError, RelayServer, RelayStream, relay,
};
use crate::prelude::*;

impl Mesh {
    /// Sets the server that connects peers to targets; only the first call has an effect.
    pub fn serve_relays(&self, server: Arc<dyn RelayServer>) {
        let _ = self.relay_server.set(server);
    }

    /// The server that connects peers to targets.
    pub(crate) fn relay_server(&self) -> Option<&dyn RelayServer> {
        self.relay_server.get().map(|server| &**server)
    }

    /// Opens a connection to a target through the peer at an address.
    ///
    /// # Errors
    /// See [`relay::open`].
    pub(crate) async fn open_relay(
        &self,
        peer: SocketAddr,
        target: &str,
    ) -> Result<RelayStream, RelayError> {
        relay::open(self, peer, target).await
    }

    /// The first message of a connection that a peer relays to a target.
    pub(crate) fn relay_request(&self, target: Name) -> PeerMessage {
        PeerMessage::RelayOpen {
            protocol: PROTOCOL_VERSION,
            name: self.name.clone(),
            boot: self.boot,
            proof: self.secret.peer_proof(&self.name, self.boot).into(),
            target,
        }
    }
}
