//! Declarations of every kind, and references to them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::catalog::{Customer, Model, Policy, Service, Trust};
use crate::prelude::*;

/// Declarations of every kind, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Declarations {
    /// Customers.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub customers: BTreeMap<Name, Customer>,
    /// Models.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub models: BTreeMap<Name, Model>,
    /// Serving policies.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub policies: BTreeMap<Name, Policy>,
    /// Plain services.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<Name, Service>,
    /// Trust in targets, by the target's name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub trust: BTreeMap<Name, Trust>,
}

/// Kind and name of a declaration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DeclarationId {
    /// `customers`, `models`, `policies`, `services` or `trust`.
    pub kind: Name,
    /// Name of the declaration.
    pub name: Name,
}

impl Declarations {
    /// Whether nothing is declared.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ids().is_empty()
    }

    /// Kind and name of every declaration.
    #[must_use]
    pub fn ids(&self) -> Vec<DeclarationId> {
        fn ids_of<'a, T>(
            kind: &'static str,
            map: &'a BTreeMap<Name, T>,
        ) -> impl Iterator<Item = DeclarationId> + 'a {
            map.keys().map(move |name| DeclarationId {
                kind: kind.into(),
                name: name.clone(),
            })
        }
        ids_of("customers", &self.customers)
            .chain(ids_of("models", &self.models))
            .chain(ids_of("policies", &self.policies))
            .chain(ids_of("services", &self.services))
            .chain(ids_of("trust", &self.trust))
            .collect()
    }

    /// Whether a declaration exists.
    #[must_use]
    pub fn contains(&self, id: &DeclarationId) -> bool {
        let name = &id.name;
        match &*id.kind {
            "customers" => self.customers.contains_key(name),
            "models" => self.models.contains_key(name),
            "policies" => self.policies.contains_key(name),
            "services" => self.services.contains_key(name),
            "trust" => self.trust.contains_key(name),
            _ => false,
        }
    }

    /// Removes a declaration.
    pub fn remove(&mut self, id: &DeclarationId) {
        let name = &id.name;
        match &*id.kind {
            "customers" => drop(self.customers.remove(name)),
            "models" => drop(self.models.remove(name)),
            "policies" => drop(self.policies.remove(name)),
            "services" => drop(self.services.remove(name)),
            "trust" => drop(self.trust.remove(name)),
            _ => {}
        }
    }

    /// Keeps only the declarations that `other` contains in equal form.
    pub fn retain_equal(&mut self, other: &Self) {
        self.customers
            .retain(|k, v| other.customers.get(k) == Some(v));
        self.models.retain(|k, v| other.models.get(k) == Some(v));
        self.policies
            .retain(|k, v| other.policies.get(k) == Some(v));
        self.services
            .retain(|k, v| other.services.get(k) == Some(v));
        self.trust.retain(|k, v| other.trust.get(k) == Some(v));
    }

    /// Adds the declarations of `other`, replacing those of the same kind and name.
    pub fn merge(&mut self, other: &Self) {
        fn extend<T: Clone>(into: &mut BTreeMap<Name, T>, from: &BTreeMap<Name, T>) {
            into.extend(from.iter().map(|(k, v)| (k.clone(), v.clone())));
        }
        extend(&mut self.customers, &other.customers);
        extend(&mut self.models, &other.models);
        extend(&mut self.policies, &other.policies);
        extend(&mut self.services, &other.services);
        extend(&mut self.trust, &other.trust);
    }
}
