//! The process on store VMs that keeps cache blocks between the visits of a caller.

mod admin;
mod handler;
mod metrics;
mod server;

pub use metrics::StoreMetrics;
pub use server::{Store, StoreControl};
