//! The admission and placement state machine behind a lock, shared by the tasks of an entry, and
//! the quarantine notices that it sends to peers.

mod queue;
mod words;

pub use queue::{RequestHandle, SharedScheduler};
pub use words::{QuarantineNotice, QuarantineNotices};
