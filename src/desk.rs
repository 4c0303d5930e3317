//! The decisions' desk as the tasks of an entry share it.

mod queue;
mod words;

pub use queue::{DeskQueue, Waiter};
pub use words::{QuarantineWord, QuarantineWords};
