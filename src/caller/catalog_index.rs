//! Lookups derived from the catalog in force.

use std::collections::HashMap;

use crate::catalog::{Catalog, Policy, TokenHash};
use crate::prelude::*;

/// An immutable index of one catalog, for traffic threads.
#[derive(Debug, Default)]
pub struct CatalogIndex {
    /// The catalog that the lookups were derived from.
    pub catalog: Arc<Catalog>,
    customers: HashMap<TokenHash, Name>,
    policies: HashMap<Name, Arc<Policy>>,
}

impl CatalogIndex {
    /// Indexes customers by token hash and policies by name.
    #[must_use]
    pub fn new(catalog: Arc<Catalog>) -> Self {
        let declarations = &catalog.declarations;
        let customers = declarations.customers.iter().flat_map(|(name, customer)| {
            let tokens = customer.tokens.iter();
            tokens.map(|token| (*token, name.clone()))
        });
        let policies = declarations.policies.iter();
        Self {
            customers: customers.collect(),
            policies: policies
                .map(|(name, policy)| (name.clone(), Arc::new(policy.clone())))
                .collect(),
            catalog,
        }
    }

    /// Finds the customer of an `Authorization` header. Only token hashes are stored and compared.
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
