//! Fakes shared by the tests.
#![allow(dead_code, unused_imports)]

mod claim_node;
pub mod claims;
mod links;
mod platform;

pub use claim_node::{ClaimNode, TEST_SHARDS, claim_request};
pub use links::{LocalLinks, LocalNet, NoPeers};
pub use platform::{Calls, Fault, MemoryPlatform};
