//! Running parts of a bench.

use std::net::SocketAddr;
use std::sync::Arc;

use guavahold::entry::RunningEntry;
use guavahold::platform::Vm;
use guavahold::prelude::Name;

use crate::{StandIn, StandInServer};

/// A stand-in and how the platform lists it.
#[derive(Debug)]
pub struct Member<T> {
    /// The stand-in.
    pub stand_in: Arc<T>,
    /// Address of its admin port.
    pub admin: SocketAddr,
    /// The VM as listed.
    pub vm: Vm,
}

impl<T: StandIn> Member<T> {
    pub(crate) fn new(host: &StandInServer<T>, vm: Vm) -> Self {
        Self {
            stand_in: host.stand_in(),
            admin: host.admin_address(),
            vm,
        }
    }
}

/// A running entry.
pub struct EntryMember {
    /// Name.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the admin port.
    pub admin: SocketAddr,
    /// Ends the entry.
    pub running: RunningEntry,
}
