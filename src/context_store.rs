//! Cached context that is kept outside of targets, in context stores run by the platform.
//!
//! A store keeps a part of a prompt until a request to free it arrives. It evicts nothing on its
//! own and does not check whether a copy is being fetched. This module decides at which store a
//! part is saved, which copies are complete and may be fetched, and when no request can be fetching
//! a copy any more, so that it may be freed.

mod client;
mod directory;
mod poll_backoff;
mod retirement;
mod watcher;

pub use client::{ContextStoreClient, FreeCall, PartKey, StoreCallError, StoreChange, StoreUpdate};
pub use directory::{RelayOutcome, StoreDirectory, StoreInfo, TransferPlan};
pub use poll_backoff::{PollBackoff, PollResult};
pub use retirement::{
    FETCH_LEASE, FETCH_TIMEOUT, FREE_DELAY, FetchLease, RetiredVersions, RetirementTracker,
};
pub(crate) use watcher::{StoreUpdateRelay, StoreWatcher};
