//! Measures how the cost of an idle entry grows with the size of the system.
//!
//! Idle means that the entry has no work but the catalog changes or bookings that are measured.

mod changes;
mod claims;
mod customers;
mod peers;
mod point;
mod targets;

use std::str::FromStr;

pub use point::{Point, Slope};

/// Dimension in which the system grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dimension {
    /// Entries that exchange updates with each other.
    Peers,
    /// Targets in the platform's VM list.
    Targets,
    /// Customers in the catalog.
    Customers,
    /// Catalog changes per second.
    Changes,
    /// Non-idempotent requests per second, each of which takes a claim.
    Claims,
}

impl FromStr for Dimension {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "peers" => Ok(Self::Peers),
            "targets" => Ok(Self::Targets),
            "customers" => Ok(Self::Customers),
            "changes" => Ok(Self::Changes),
            "claims" => Ok(Self::Claims),
            _ => Err("expected one of peers, targets, customers, changes, claims".into()),
        }
    }
}

/// Measures an otherwise idle entry at several sizes of `dimension`.
///
/// # Errors
/// When a process cannot be started.
pub fn slope(dimension: Dimension) -> eyre::Result<Slope> {
    let points = async_io::block_on(async {
        match dimension {
            Dimension::Peers => peers::measure().await,
            Dimension::Targets => targets::measure().await,
            Dimension::Customers => customers::measure().await,
            Dimension::Changes => changes::measure().await,
            Dimension::Claims => claims::measure().await,
        }
    })?;
    Ok(Slope::fit(format!("{dimension:?}").to_lowercase(), points))
}
