//! Connections to targets through a peer, for an entry that does not reach them itself.
//!
//! Each is a WebSocket connection of its own to the peer's listener: one message names the target,
//! then binary messages carry the bytes of both directions. A peer connects only to targets that it
//! knows by name, and never through another peer.

mod client;
mod failure;
mod server;
mod stream;

pub(crate) use client::open;
pub use failure::{RelayError, RelayFailure};
pub(crate) use server::serve;
pub use server::{RelayServer, RelayedTarget};
pub(crate) use stream::RelayStream;

/// Largest message of a relayed connection, in bytes.
pub(crate) const MAX_RELAY_MESSAGE_BYTES: usize = 256 * 1024;
/// Largest part of a request or response in one message, in bytes.
pub(crate) const RELAY_CHUNK_BYTES: usize = 16 * 1024;
