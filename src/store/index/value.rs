//! Predicted returns of customers to their blocks.

use std::collections::HashMap;

use crate::prelude::*;
use crate::store::index::profile::AgeProfile;

/// Kinds of blocks by their earlier reads: none, one, several.
const KINDS: usize = 3;
/// Observations from which a customer's own profile is used.
const OWN_OBSERVATIONS: f64 = 128.0;
/// Most customers with a profile of their own.
const MAX_CUSTOMERS: usize = 16_384;

type Profiles = [AgeProfile; KINDS];

/// Learns from observed gaps how soon blocks are read again.
#[derive(Debug, Default)]
pub(super) struct ValueModel {
    all: Profiles,
    customers: HashMap<Name, Profiles>,
}

impl ValueModel {
    pub(super) fn hit(&mut self, customer: &str, reuse: u8, age: Duration) {
        self.observe(customer, reuse, |profile| profile.read(age));
    }

    pub(super) fn evicted(&mut self, customer: &str, reuse: u8, age: Duration) {
        self.observe(customer, reuse, |profile| profile.evicted(age));
    }

    /// Expected reads per second of a block of this customer, reuse and age.
    pub(super) fn density(&self, customer: &str, reuse: u8, age: Duration) -> f64 {
        let kind = kind_of(reuse);
        let own = self.customers.get(customer).map(|p| &p[kind]);
        let own = own.filter(|p| p.total() >= OWN_OBSERVATIONS);
        own.unwrap_or(&self.all[kind]).density(age)
    }

    fn observe(&mut self, customer: &str, reuse: u8, f: impl Fn(&mut AgeProfile)) {
        let kind = kind_of(reuse);
        f(&mut self.all[kind]);
        if let Some(own) = self.customers.get_mut(customer) {
            f(&mut own[kind]);
        } else if self.customers.len() < MAX_CUSTOMERS {
            let mut own = Profiles::default();
            f(&mut own[kind]);
            self.customers.insert(customer.into(), own);
        }
    }
}

fn kind_of(reuse: u8) -> usize {
    usize::from(reuse).min(KINDS - 1)
}
