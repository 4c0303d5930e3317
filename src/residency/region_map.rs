//! Regions of the failure domains.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::residency::{AllowedDomains, RequestResidency};

/// Region of each failure domain, and the region of this entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionMap {
    own: Option<Name>,
    domains: BTreeMap<Name, Name>,
}

impl RegionMap {
    /// Makes the map of an entry in region `own`, if that is known, from pairs of a failure domain
    /// and its region.
    #[must_use]
    pub fn new(own: Option<Name>, domains: impl IntoIterator<Item = (Name, Name)>) -> Self {
        Self {
            own,
            domains: domains.into_iter().collect(),
        }
    }

    /// Where a request may be processed whose route and customer name these regions; no region means
    /// no restriction. With two restrictions, only regions in both are allowed.
    ///
    /// Returns `None` if the request may run in every domain, also when all known domains are in a
    /// single region that is allowed. Domains of unknown region are not allowed otherwise.
    #[must_use]
    pub fn residency(&self, route: &[Name], customer: &[Name]) -> Option<RequestResidency> {
        if route.is_empty() && customer.is_empty() {
            return None;
        }
        let names = |list: &[Name], region: &Name| list.is_empty() || list.contains(region);
        let allows = |region: &Name| names(route, region) && names(customer, region);
        if self.sole_region().is_some_and(allows) {
            return None;
        }
        let own = |region: &Name| Some(region) == self.own.as_ref();
        Some(RequestResidency {
            targets: self.domains_where(allows),
            relays: self.domains_where(|region| allows(region) || own(region)),
        })
    }

    fn domains_where(&self, accepts: impl Fn(&Name) -> bool) -> AllowedDomains {
        let domains = self.domains.iter().filter(|(_, region)| accepts(region));
        AllowedDomains::new(domains.map(|(domain, _)| domain.clone()))
    }

    /// Whether any failure domain is known to be in a region.
    #[must_use]
    pub fn has_region(&self, region: &str) -> bool {
        self.domains.values().any(|known| **known == *region)
    }

    /// The region of all known domains and of this entry, if it is the same.
    fn sole_region(&self) -> Option<&Name> {
        let first = self.domains.values().next()?;
        let mut regions = self.domains.values().chain(&self.own);
        regions.all(|region| region == first).then_some(first)
    }
}
