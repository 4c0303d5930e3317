//! Running parts of a bench.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use guavahold::entry::RunningEntry;
use guavahold::platform::Vm;
use guavahold::prelude::Name;

use crate::{Host, StandIn};

/// A stand-in and how the platform lists it.
#[derive(Debug)]
pub struct Member<T> {
    /// The stand-in.
    pub core: Arc<T>,
    /// Address of its admin port.
    pub admin: SocketAddr,
    /// The VM as listed.
    pub vm: Vm,
}

impl<T: StandIn> Member<T> {
    pub(crate) fn new(host: &Host<T>, vm: Vm) -> Self {
        Self {
            core: host.core(),
            admin: host.admin(),
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

/// A running store.
#[derive(Debug)]
pub struct StoreMember {
    /// The VM as listed.
    pub vm: Vm,
    stop: async_channel::Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl StoreMember {
    pub(crate) fn new(vm: Vm, stop: async_channel::Sender<()>, thread: JoinHandle<()>) -> Self {
        Self {
            vm,
            stop,
            thread: Some(thread),
        }
    }

    /// Tells the store to end at once, as a killed VM does; its thread ends soon after.
    pub fn stop_soon(&self) {
        self.stop.close();
    }

    /// Ends the store at once, as a killed VM does.
    pub fn kill(mut self) {
        self.stop.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
