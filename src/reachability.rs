//! By which path an entry reaches each target: a state machine without input or output.
//!
//! A connection that fails tells of the path as much as of the target. So an entry that fails to
//! connect asks a peer to, and what both saw decides: if the peer connects, the entry is cut off
//! from the target and goes through peers until its own connections succeed again; a target has
//! ended only if a peer that reaches others finds it refusing connections too.

mod check;
mod dial_result;
mod path;
mod table;
mod target_reach;

pub use dial_result::DialResult;
pub use path::{Path, PathChange};
pub use table::{ReachTable, UnlistedTarget};
pub(crate) use target_reach::TargetReach;
