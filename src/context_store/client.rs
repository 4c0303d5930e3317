//! Interface to the platform's context stores.

use std::net::SocketAddr;

use futures_lite::future::Boxed;

use crate::prelude::*;

/// Key of a part of a prompt at a context store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey {
    /// Scope within which the part is shared; begins with the weight version.
    pub scope: Name,
    /// Identifier of the part's content.
    pub id: Name,
}

/// A part that a store added, extended or removed; in a full list, a part that it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreChange {
    /// The part.
    pub part: PartKey,
    /// Tokens of the part that are stored now; zero if it was removed.
    pub tokens: u32,
}

/// Changes at a store, or the full list of its parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreUpdate {
    /// Boot epoch of the store; differs after each restart.
    pub epoch: u64,
    /// Sequence number of the change that follows this update.
    pub next_seq: u64,
    /// Whether the store no longer has some of the requested changes.
    pub gap: bool,
    /// Changes in order, or all stored parts.
    pub changes: Vec<StoreChange>,
    /// Reading of the targets' clock, by which fetch deadlines are measured, in milliseconds.
    pub clock_ms: Option<u64>,
}

/// Parts that a store is to free.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreeCall {
    /// The store.
    pub store: SocketAddr,
    /// Its boot epoch; it frees nothing if it has another one.
    pub epoch: u64,
    /// Reading of the targets' clock, in milliseconds, after which it frees nothing.
    pub until_ms: Option<u64>,
    /// The parts.
    pub parts: Vec<PartKey>,
}

/// Why a call to a context store brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCallError {
    /// The store did not answer, or refused the call.
    NoAnswer,
    /// Its answer cannot be read. The same call would get it again.
    Unreadable,
}

/// Client of the context stores.
pub trait ContextStoreClient: Send + Sync {
    /// Changes from sequence number `from_seq` on, waiting up to `wait` for the first one.
    fn changes(
        &self,
        store: SocketAddr,
        from_seq: u64,
        wait: Duration,
    ) -> Boxed<Result<StoreUpdate, StoreCallError>>;

    /// All complete parts at a store.
    fn list(&self, store: SocketAddr) -> Boxed<Result<StoreUpdate, StoreCallError>>;

    /// Frees parts; returns whether they were freed.
    fn free(&self, call: FreeCall) -> Boxed<bool>;
}
