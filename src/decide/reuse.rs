//! Fetch or recompute, and what to keep: decisions about cache blocks.
//!
//! The three measures are made comparable as parts of one prompt: first-token time as a part of the
//! time that a whole prefill takes, recomputed tokens and link bytes as parts of the prompt. The
//! policy's weights then add up to one cost, and the cheapest plan wins.

mod export;
mod import;
mod prefix_memory;
mod range;
mod return_memory;
mod state;

pub use export::plan_export;
pub use import::plan_import;
pub use prefix_memory::PrefixMemory;
pub use range::BlockRange;
pub use return_memory::{ReturnMemory, Visit};
pub use state::{PromptShape, StoreState, TargetState};
