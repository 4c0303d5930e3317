//! Links between entries: WebSocket connections that carry CBOR messages.
//!
//! The entries of a failure domain form a full mesh. Two entries of each domain, its bridges, also
//! link to the bridges of other domains. Each entry decides by heartbeats and a timeout which of
//! its peers are live; the views of two entries may differ.

mod builder;
mod claim_calls;
mod codec;
mod connection;
mod event;
mod gateway_digest;
mod gateway_status;
mod handshake_stream;
mod join_questions;
mod link_counters;
mod links;
mod load_update;
mod membership;
mod mesh;
mod message;
pub(crate) mod relay;
mod relayed_store_update;
mod rendezvous;
mod round_trip;

pub use builder::MeshBuilder;
pub use claim_calls::ClaimServer;
pub use codec::{CodecError, decode, encode};
pub use event::{CloseReason, ConnId, MemberEffect, MemberEvent, PeerConnection};
pub use gateway_digest::GatewayDigest;
pub use gateway_status::{GatewayStatus, KindConfirmation};
pub use join_questions::JoinQuestions;
pub use link_counters::LinkCounters;
pub use links::{PeerEvents, PeerInfo, PeerLinks};
pub use load_update::LoadUpdate;
pub use membership::{Membership, MembershipSettings};
pub use mesh::Mesh;
pub use message::{PROTOCOL_VERSION, PeerMessage};
pub(crate) use relay::RelayStream;
pub use relay::{RelayError, RelayFailure, RelayServer, RelayedTarget};
pub use relayed_store_update::RelayedStoreUpdate;
pub use rendezvous::{BRIDGES_PER_DOMAIN, rendezvous_key, rendezvous_rank};
pub use round_trip::{RoundTrip, RoundTripClock};
