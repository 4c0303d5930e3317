//! Callers' requests, from their checks to the relayed answer.

mod attempt;
mod chat;
mod claimed;
mod directory;
mod engine_stream;
mod event_id;
mod handler;
mod idempotent;
mod plan;
mod relay;
mod reuse;
mod shared;
mod targets;
mod usage;
mod watchdog;
mod work;

pub use chat::ChatRequest;
pub use directory::Directory;
pub use event_id::EventId;
pub use handler::CallerHandler;
pub use plan::{StoreList, StorePeer};
pub use reuse::ReuseMemory;
pub use shared::Shared;
pub use targets::{TargetState, TargetView};
pub use work::{RunId, Work, WorkKind};
