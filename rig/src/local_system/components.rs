//! Running components of a local system.

use std::net::SocketAddr;
use std::sync::Arc;

use guavahold::entry::RunningEntry;
use guavahold::platform::Vm;
use guavahold::prelude::Name;

use crate::{StandIn, StandInServer};

/// A running stand-in and its VM on the platform.
#[derive(Debug)]
pub struct RunningStandIn<T> {
    /// The stand-in.
    pub stand_in: Arc<T>,
    /// Address of its admin port.
    pub admin: SocketAddr,
    /// The VM as the platform lists it.
    pub vm: Vm,
}

impl<T: StandIn> RunningStandIn<T> {
    pub(crate) fn new(server: &StandInServer<T>, vm: Vm) -> Self {
        Self {
            stand_in: server.stand_in(),
            admin: server.admin_address(),
            vm,
        }
    }
}

/// A running entry.
pub struct LocalEntry {
    /// Name of the VM.
    pub name: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the admin port.
    pub admin: SocketAddr,
    /// Handle to drain and stop the entry.
    pub running: RunningEntry,
}
