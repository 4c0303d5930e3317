//! Serves callers' requests: validation, attempts at targets, and the relayed response.

mod arrival;
mod attempt;
mod attempt_start;
mod caller_request;
mod catalog_index;
mod chat;
mod engine_stream;
mod event_id;
mod handler;
mod idempotent;
mod non_idempotent;
mod prompt_blocks;
mod relay;
mod response;
mod shared;
mod target_request;
mod targets;
mod usage;
mod watchdog;

pub use caller_request::{CallerRequest, RequestKind, RunId};
pub use catalog_index::CatalogIndex;
pub use chat::ChatRequest;
pub use event_id::EventId;
pub use handler::CallerHandler;
pub use shared::Shared;
pub use targets::{TargetState, TargetView};
