//! Weighted split of a route's traffic among services.

use crate::prelude::*;

/// Services that share a route's traffic by weight.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrafficSplit(SmallVec<[(Name, u32); 2]>);

impl TrafficSplit {
    /// Creates a split of services with their weights.
    pub fn new(shares: impl IntoIterator<Item = (Name, u32)>) -> Self {
        Self(shares.into_iter().collect())
    }

    /// Picks the service for a request from a uniformly random number; `None` when no service has a
    /// weight above zero.
    #[must_use]
    pub fn pick(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.0.iter().map(|(_, weight)| u64::from(*weight)).sum();
        if total == 0 {
            return None;
        }
        let mut at = draw % total;
        for (service, weight) in &self.0 {
            let weight = u64::from(*weight);
            if at < weight {
                return Some(service);
            }
            at -= weight;
        }
        None
    }

    /// Services with a weight above zero.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.0.iter().filter(|(_, w)| *w > 0).map(|(name, _)| name)
    }
}
