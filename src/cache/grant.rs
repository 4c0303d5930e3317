//! Grants of block transfers to engines.

use std::net::SocketAddr;

use crate::cache::{BlockKey, Operation, Secret, Ticket};
use crate::prelude::*;
use crate::target::{BlockGrant, KvTransfer};

/// Issues tickets for `keys`, the blocks from index `first` on, at one store.
///
/// `operation` is [`Operation::Read`] for an import and [`Operation::Write`] for an export;
/// `expires_ms` is in milliseconds since the Unix epoch.
#[must_use]
pub fn grant(
    secret: &Secret,
    operation: Operation,
    store: SocketAddr,
    customer: &Name,
    first: u32,
    keys: &[BlockKey],
    expires_ms: u64,
) -> KvTransfer {
    let issue = |key: &BlockKey| BlockGrant {
        key: *key,
        ticket: Ticket::issue(secret, operation, customer, key, expires_ms).to_string(),
    };
    KvTransfer {
        store,
        first,
        blocks: keys.iter().map(issue).collect(),
    }
}
