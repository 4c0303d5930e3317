//! Changes of context stores, relayed by the entries that follow the stores.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// A range of a context store's changes, or its full contents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedStoreUpdate {
    /// Address of the store.
    #[serde(rename = "s")]
    pub store: SocketAddr,
    /// Epoch of the store; each start of the store begins a new one.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Number of the first change; zero for the full contents.
    #[serde(rename = "f")]
    pub from: u64,
    /// Number of the change after the last one contained.
    #[serde(rename = "n")]
    pub next: u64,
    /// Scope, part and tokens of each change; zero tokens remove the part.
    #[serde(rename = "c")]
    pub changes: Vec<(Name, Name, u32)>,
    /// Reading of the targets' clock, in milliseconds.
    #[serde(rename = "t")]
    pub clock_ms: Option<u64>,
    /// Requests the store's full contents, as far as the receiver knows them.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub full_requested: bool,
    /// Whether the store no longer answers the sender.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub store_unreachable: bool,
}
