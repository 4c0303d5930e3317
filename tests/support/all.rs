//! Fakes shared by the tests.
#![allow(dead_code, unused_imports)]

pub mod claims;
mod links;
mod node;
mod platform;

pub use links::{LocalLinks, LocalNet, NoPeers};
pub use node::{ClaimNode, TEST_SHARDS, claim_request};
pub use platform::{Calls, Fault, MemoryPlatform};
