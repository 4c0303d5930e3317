//! A peer as a relay.

use std::net::SocketAddr;

use crate::prelude::*;

/// A live peer, as a relay.
#[derive(Clone, Debug)]
pub struct RelayPeer {
    /// Name of the entry.
    pub name: Name,
    /// Failure domain of the entry.
    pub domain: Name,
    /// Address on which it listens for peers.
    pub address: SocketAddr,
    /// Processor share in thousandths; zero when unknown.
    pub cpu_millis: u32,
}
