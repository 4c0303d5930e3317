//! Cached context that is kept outside of targets, in context stores run by the platform.
//!
//! A store keeps a part of a prompt until a request to free it arrives; it evicts nothing on its
//! own and checks nothing. This module decides at which store a part is saved, which copies are
//! complete and may be fetched, and when no request can be fetching a copy any more, so that it may
//! be freed.

mod directory;
mod follower;
mod port;
mod retirement;

pub use directory::{Directory, KeptPlan, Relayed, StoreInfo};
pub(crate) use follower::{StoreFollower, StoreRelay};
pub use port::{ContextStores, StoreChange, StoreNews, StorePart};
pub use retirement::{FETCH_TIME, Retired, Retirement};
