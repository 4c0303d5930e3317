//! Messages between entries: WebSocket frames of CBOR.

mod message;

pub use message::{PROTOCOL, PeerMessage};
