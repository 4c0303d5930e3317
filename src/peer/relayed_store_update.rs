//! Changes of context stores, relayed by the entries that watch the stores.

use std::fmt;
use std::net::SocketAddr;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

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
    #[serde(rename = "c", deserialize_with = "deserialize_changes")]
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

/// Decodes changes. Those in a row mostly have the same scope, which is kept once.
fn deserialize_changes<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(Name, Name, u32)>, D::Error> {
    deserializer.deserialize_seq(ChangesVisitor)
}

struct ChangesVisitor;

impl<'de> Visitor<'de> for ChangesVisitor {
    type Value = Vec<(Name, Name, u32)>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a sequence of changes")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Self::Value, A::Error> {
        let mut changes = Self::Value::new();
        while let Some((mut scope, id, tokens)) = items.next_element::<(Name, Name, u32)>()? {
            if let Some((last, ..)) = changes.last()
                && *last == scope
            {
                scope = last.clone();
            }
            changes.push((scope, id, tokens));
        }
        Ok(changes)
    }
}
