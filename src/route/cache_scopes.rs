//! Scopes under which cached context is shared, for one set of isolated customers.

use std::collections::BTreeSet;

use crate::prelude::*;
use crate::route::KeyHolder;

/// Separates the weight version from the customer in the scope of an isolated customer.
const OWN_SCOPE_MARK: char = '.';
/// Separates the weight version from the hash of the isolated customers in the scope of all others.
const SHARED_SCOPE_MARK: char = '~';

/// Scopes under which cached context is shared: within one weight version, each isolated customer has
/// a scope of its own, and all others share one.
///
/// The shared scope depends on the set of isolated customers, so that it never holds context that one
/// of them made before it became isolated. Entries agree on it by their configuration alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheScopes {
    isolated: BTreeSet<Name>,
    /// What follows the weight version in the shared scope; empty while no customer is isolated.
    shared_suffix: String,
}

impl CacheScopes {
    /// Scopes while these customers are isolated.
    #[must_use]
    pub fn new(isolated: BTreeSet<Name>) -> Self {
        let shared_suffix = if isolated.is_empty() {
            String::new()
        } else {
            format!("{SHARED_SCOPE_MARK}{:016x}", hash(&isolated))
        };
        Self {
            isolated,
            shared_suffix,
        }
    }

    /// The customer of a request if its context is kept apart: it is isolated now, or was when the
    /// request was accepted.
    #[must_use]
    pub fn isolated_customer<'a>(&self, holder: Option<&'a KeyHolder>) -> Option<&'a Name> {
        let isolated = holder.filter(|h| h.isolated || self.isolated.contains(&h.customer));
        isolated.map(|h| &h.customer)
    }

    /// Scope of a request on a weight version.
    #[must_use]
    pub fn scope(&self, holder: Option<&KeyHolder>, weights: u64) -> Name {
        let scope = match self.isolated_customer(holder) {
            Some(customer) => format!("{weights}{OWN_SCOPE_MARK}{customer}"),
            None => format!("{weights}{}", self.shared_suffix),
        };
        scope.into()
    }
}

/// Hash of the names of customers.
fn hash(customers: &BTreeSet<Name>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for customer in customers {
        hasher.update(&(customer.len() as u64).to_le_bytes());
        hasher.update(customer.as_bytes());
    }
    let bytes = hasher.finalize().as_bytes().first_chunk::<8>().copied();
    u64::from_le_bytes(bytes.unwrap_or_default())
}

/// Weight version of a scope: the number at its start, if what follows is a mark or nothing.
#[must_use]
pub fn scope_version(scope: &str) -> Option<u64> {
    let version = scope.split([OWN_SCOPE_MARK, SHARED_SCOPE_MARK]).next()?;
    version.parse().ok()
}
