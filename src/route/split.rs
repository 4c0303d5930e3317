//! Shares of a route's traffic.

use crate::prelude::*;

/// Services that share a route's traffic by weight.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrafficSplit(SmallVec<[(Name, u32); 2]>);

impl TrafficSplit {
    /// Makes a split of services with their weights.
    pub fn new(shares: impl IntoIterator<Item = (Name, u32)>) -> Self {
        Self(shares.into_iter().collect())
    }

    /// The service for a request; `draw` is uniform over all numbers.
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

    /// The services that get any traffic.
    pub fn services(&self) -> impl Iterator<Item = &Name> {
        self.0.iter().filter(|(_, w)| *w > 0).map(|(name, _)| name)
    }
}
