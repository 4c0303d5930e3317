//! Changes of context stores, relayed by the entries that watch the stores.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A range of a context store's changes, or its full contents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedStoreUpdate {
    /// Address of the store.
    #[serde(rename = "s")]
    pub store: SocketAddr,
    /// Boot epoch of the store; differs after each restart.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Sequence number of the first change; zero for the full contents.
    #[serde(rename = "f")]
    pub from: u64,
    /// Sequence number of the change that follows this update.
    #[serde(rename = "n")]
    pub next: u64,
    /// Scope, part and tokens of each change; zero tokens remove the part.
    #[serde(rename = "c")]
    pub changes: Vec<(Name, Name, u32)>,
    /// Reading of the targets' clock, by which fetch deadlines are measured, in milliseconds.
    #[serde(rename = "t")]
    pub clock_ms: Option<u64>,
    /// Whether the sender requests the store's full contents, as far as the receiver knows them.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub full_requested: bool,
    /// Whether the store no longer answers the sender.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub store_unreachable: bool,
}

impl RelayedStoreUpdate {
    /// Whether this is the full contents of a store.
    #[must_use]
    pub fn is_full_list(&self) -> bool {
        self.from == 0 && !self.full_requested && !self.store_unreachable
    }

    /// Whether this full list of a store holds everything that another update tells.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.is_full_list()
            && !other.full_requested
            && !other.store_unreachable
            && other.store == self.store
            && other.epoch == self.epoch
            && other.next <= self.next
    }
}
