//! Small fakes shared by the tests.
#![allow(dead_code, unused_imports, clippy::mod_module_files)]

pub mod claims;
mod links;
mod platform;

pub use links::NoPeers;
pub use platform::{Calls, Fault, MemoryPlatform};
