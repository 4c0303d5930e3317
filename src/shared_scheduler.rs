//! The admission and placement state machine behind a lock, shared by the tasks of an entry, and
//! the quarantine notices that it sends to peers.

mod handle;
mod notice_budget;
mod quarantine_exchange;
mod quarantine_notices;

pub use handle::{RequestHandle, SharedScheduler};
pub use notice_budget::NoticeBudget;
pub use quarantine_exchange::QuarantineExchange;
pub use quarantine_notices::{QuarantineNotice, QuarantineNotices};
