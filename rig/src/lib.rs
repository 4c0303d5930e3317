//! Stand-ins for the systems that guavahold talks to, test support, a demo and a load tool.

pub mod body;
pub mod cli;
pub mod client;
pub mod demo;
pub mod engine;
pub mod entry_bench;
pub mod faults;
pub mod fleet;
pub mod load;
pub mod local_system;
pub mod platform;
pub mod process;
pub mod relay;
pub mod response;
pub mod semaphore;
pub mod service;
pub mod slope;
pub mod stand_in;
pub mod test_cluster;
pub mod usage;

pub use engine::{Engine, EngineSettings};
pub use faults::{ActiveFaults, Faults};
pub use fleet::Fleet;
pub use platform::{PlatformSettings, PlatformStandIn};
pub use process::Process;
pub use relay::Relay;
pub use service::{ServiceSettings, ServiceStandIn};
pub use stand_in::{Spawner, StandIn, StandInServer};
pub use test_cluster::TestCluster;
