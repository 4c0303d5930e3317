//! VMs in the platform's list, which may be out of date.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// Kind of process on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Entry of this system.
    Entry,
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
}

/// Stage in the life of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmPhase {
    /// In use.
    #[default]
    Live,
    /// About to be removed.
    Leaving,
}

/// One VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name, unique in the list.
    pub name: Name,
    /// Kind of process on the VM.
    pub role: Role,
    /// Failure domain.
    pub domain: Name,
    /// Address that other VMs use.
    pub address: SocketAddr,
    /// Model or service that the VM serves; empty for other roles.
    #[serde(default)]
    pub serves: Name,
    /// Whether the VM is about to be removed.
    #[serde(default)]
    pub phase: VmPhase,
    /// Processor share, in thousandths of a processor; zero when unknown.
    #[serde(rename = "power", default)]
    pub cpu_millis: u32,
}

impl Vm {
    /// Object kind of VMs in the platform.
    pub const KIND: &'static str = "vms";

    /// Fields of its encoding.
    pub const FIELDS: &'static [&'static str] = &[
        "name", "role", "domain", "address", "serves", "phase", "power",
    ];
}
