//! Messages between entries: WebSocket frames of CBOR.

mod links;
mod message;

pub use links::{PeerEvents, PeerInfo, PeerLinks};
pub use message::{PROTOCOL, PeerMessage};
