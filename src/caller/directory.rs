//! Lookups derived from the catalog in force.

use std::collections::HashMap;

use crate::catalog::{Catalog, Policy, TokenHash};
use crate::prelude::*;

/// An immutable view of one catalog for traffic threads.
#[derive(Debug, Default)]
pub struct Directory {
    /// The catalog.
    pub catalog: Arc<Catalog>,
    customers: HashMap<TokenHash, Name>,
    policies: HashMap<Name, Arc<Policy>>,
}

impl Directory {
    /// Derives the lookups.
    #[must_use]
    pub fn new(catalog: Arc<Catalog>) -> Self {
        let section = &catalog.declarations;
        let customers = section.customers.iter().flat_map(|(name, customer)| {
            let tokens = customer.tokens.iter();
            tokens.map(|token| (*token, name.clone()))
        });
        let policies = section.policies.iter();
        Self {
            customers: customers.collect(),
            policies: policies
                .map(|(name, policy)| (name.clone(), Arc::new(policy.clone())))
                .collect(),
            catalog,
        }
    }

    /// Finds the customer of an `Authorization` header; only hashes are compared.
    #[must_use]
    pub fn authenticate(&self, authorization: Option<&str>) -> Option<Name> {
        let (scheme, token) = authorization?.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        self.customers.get(&TokenHash::of(token.trim())).cloned()
    }

    /// Finds a policy by name.
    #[must_use]
    pub fn policy(&self, name: &str) -> Option<Arc<Policy>> {
        self.policies.get(name).cloned()
    }
}
