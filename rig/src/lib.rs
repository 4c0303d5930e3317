//! Stand-ins for the systems around guavahold, a demo and a load tool.

pub mod bench;
pub mod body;
pub mod cli;
pub mod client;
pub mod demo;
pub mod engine;
pub mod entry_bench;
pub mod faults;
pub mod fleet;
pub mod host;
pub mod load;
pub mod platform;
pub mod process;
pub mod relay;
pub mod response;
pub mod scene;
pub mod semaphore;
pub mod service;
pub mod slope;
pub mod usage;

pub use engine::{Engine, EngineSettings};
pub use faults::{FaultBox, Faults};
pub use fleet::Fleet;
pub use host::{Host, Spawner, StandIn};
pub use platform::{PlatformSettings, PlatformStandIn};
pub use process::Process;
pub use relay::Relay;
pub use scene::Scene;
pub use service::{ServiceSettings, ServiceStandIn};
