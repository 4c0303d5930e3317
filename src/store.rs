//! The process on store VMs that keeps cache blocks between the visits of a caller.

mod admin;
mod body;
mod core;
pub mod disk;
mod guard;
mod handler;
pub mod index;
pub mod link;
mod metrics;
mod server;

pub use metrics::StoreMetrics;
pub use server::{Store, StoreControl};
