//! The border between the product and stores of context.

use std::net::SocketAddr;

use futures_lite::future::Boxed;

use crate::prelude::*;

/// A part of a prompt as a store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StorePart {
    /// Text under which the part is shared.
    pub scope: Name,
    /// Identity of its content.
    pub id: Name,
}

/// A change at a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreChange {
    /// The part.
    pub part: StorePart,
    /// Tokens that are whole there now; zero when the part is gone.
    pub tokens: u32,
}

/// What a store tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreNews {
    /// Number of the store's start.
    pub epoch: u64,
    /// Number of the next change.
    pub next: u64,
    /// Whether changes before these are missing.
    pub gap: bool,
    /// Changes in their order, or all that is kept.
    pub changes: Vec<StoreChange>,
    /// Clock that fetches' deadlines are measured by, in milliseconds.
    pub clock_ms: Option<u64>,
}

/// Calls to stores of context.
pub trait ContextStores: Send + Sync {
    /// Waits up to `wait` for changes from number `since` on; `None` without a readable answer.
    fn changes(&self, store: SocketAddr, since: u64, wait: Duration) -> Boxed<Option<StoreNews>>;

    /// Everything that is whole at a store; `None` without a readable answer.
    fn list(&self, store: SocketAddr) -> Boxed<Option<StoreNews>>;

    /// Frees parts if the store has not started anew since `epoch`; tells whether it did.
    fn free(&self, store: SocketAddr, epoch: u64, parts: Vec<StorePart>) -> Boxed<bool>;
}
