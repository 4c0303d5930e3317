//! Fair order of waiting transfers.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::store::link::TransferId;

/// Tags kept besides those of waiting customers before passed ones are dropped.
const SPARE_TAGS: usize = 64;

/// How urgent a transfer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Somebody waits for the block.
    Interactive,
    /// Nobody waits, such as for an export.
    Background,
}

#[derive(Clone, Copy, Debug)]
struct Demand {
    transfer: TransferId,
    bytes: u64,
}

/// Start-time fair queue over customers: among those that wait, each gets the same bytes.
///
/// A customer's tag is the virtual time at which its next demand may start; the lowest tag goes
/// first (Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996).
#[derive(Debug, Default)]
pub struct FairQueue {
    waiting: HashMap<Name, VecDeque<Demand>>,
    order: BTreeMap<(u64, u64), Name>,
    tags: HashMap<Name, u64>,
    virtual_time: u64,
    next: u64,
}

impl FairQueue {
    /// Adds a demand behind those of the same customer.
    pub fn push(&mut self, customer: &Name, transfer: TransferId, bytes: u64) {
        let queue = self.waiting.entry(customer.clone()).or_default();
        queue.push_back(Demand { transfer, bytes });
        if queue.len() == 1 {
            self.enter(customer.clone());
        }
    }

    /// The demand to be served next and its bytes.
    #[must_use]
    pub fn peek(&self) -> Option<(TransferId, u64)> {
        let customer = self.order.values().next()?;
        let demand = self.waiting.get(customer)?.front()?;
        Some((demand.transfer, demand.bytes))
    }

    /// Takes the demand to be served next.
    ///
    /// # Panics
    /// When the order names a customer that does not wait, which would be a defect.
    pub fn pop(&mut self) -> Option<(TransferId, u64)> {
        let ((tag, _), customer) = self.order.pop_first()?;
        self.virtual_time = self.virtual_time.max(tag);
        let queue = self.waiting.get_mut(&customer);
        let queue = queue.expect("the order names waiting customers");
        let demand = queue.pop_front().expect("a waiting customer has a demand");
        self.tags
            .insert(customer.clone(), tag + demand.bytes.max(1));
        if queue.is_empty() {
            self.waiting.remove(&customer);
        } else {
            self.enter(customer);
        }
        if self.tags.len() > 2 * self.waiting.len() + SPARE_TAGS {
            let passed = self.virtual_time;
            self.tags.retain(|_, tag| *tag > passed);
        }
        Some((demand.transfer, demand.bytes))
    }

    /// Drops the demands of a transfer.
    pub fn remove(&mut self, customer: &Name, transfer: TransferId) {
        let Some(queue) = self.waiting.get_mut(customer) else {
            return;
        };
        queue.retain(|d| d.transfer != transfer);
        if queue.is_empty() {
            self.waiting.remove(customer);
            self.order.retain(|_, name| name != customer);
        }
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn enter(&mut self, customer: Name) {
        let tag = self.tags.get(&customer).copied().unwrap_or(0);
        let tag = tag.max(self.virtual_time);
        self.next += 1;
        self.order.insert((tag, self.next), customer);
    }
}
