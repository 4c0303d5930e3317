//! Failure domains that a request is restricted to.

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// The failure domains that a request is restricted to; cheap to clone. A domain whose region is
/// unknown is never among them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AllowedDomains(Arc<[Name]>);

impl AllowedDomains {
    /// Restricts to `domains`. Equal sets compare equal in whatever order they are given.
    #[must_use]
    pub fn new(domains: impl IntoIterator<Item = Name>) -> Self {
        let mut domains: Vec<Name> = domains.into_iter().collect();
        domains.sort_unstable();
        domains.dedup();
        Self(domains.into())
    }

    /// Whether `domain` is one of them.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.0.iter().any(|allowed| **allowed == *domain)
    }

    /// Whether no domain is allowed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The domains, sorted.
    pub fn iter(&self) -> impl Iterator<Item = &Name> {
        self.0.iter()
    }
}
