//! Types used throughout the crate.

pub use std::sync::Arc;
pub use std::time::Duration;

pub use smallvec::SmallVec;

/// Shared immutable name, such as of a customer, model, policy, target or VM.
pub type Name = Arc<str>;

/// Point in monotonic time, counted from the start of the process or of a replayed trace.
pub type Timestamp = Duration;
