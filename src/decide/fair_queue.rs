//! Weighted fair queueing of customers.

use std::collections::{BTreeSet, HashMap};

use crate::decide::flow::{Flow, QueueKey};
use crate::prelude::*;

/// Virtual time of one unit of cost at weight one.
const UNIT: u64 = 1 << 24;
/// Cost that a customer may catch up on after being idle, at weight one.
const CREDIT: u64 = 32;
/// Idle flows kept before the first sweep.
const SWEEP: usize = 256;

/// Start-time fair queueing of customers (Goyal, Vin and Cheng 1997), and earliest deadline first
/// within each customer.
#[derive(Debug)]
pub(super) struct FairQueue {
    flows: HashMap<Name, Flow>,
    active: BTreeSet<(u64, Name)>,
    virtual_time: u64,
    active_weight: u64,
    len: usize,
    sweep_at: usize,
}

impl Default for FairQueue {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            active: BTreeSet::new(),
            virtual_time: 0,
            active_weight: 0,
            len: 0,
            sweep_at: SWEEP,
        }
    }
}

impl FairQueue {
    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Number of waiting requests of one customer.
    pub(super) fn len_of(&self, customer: &str) -> usize {
        self.flows.get(customer).map_or(0, |f| f.waiting.len())
    }

    /// Adds a request.
    pub(super) fn push(
        &mut self,
        now: Timestamp,
        customer: &Name,
        weight: u32,
        key: QueueKey,
        cost: u32,
    ) {
        self.sweep(now);
        let flow = self.flows.entry(customer.clone()).or_default();
        if flow.waiting.is_empty() {
            flow.weight = weight.max(1);
            let credit = UNIT * CREDIT / u64::from(flow.weight);
            flow.start = flow.start.max(self.virtual_time.saturating_sub(credit));
            self.active.insert((flow.start, customer.clone()));
            self.active_weight += u64::from(flow.weight);
        }
        if flow.waiting.insert(key, cost).is_none() {
            self.len += 1;
        }
    }

    /// Takes the next request.
    pub(super) fn pop(&mut self) -> Option<QueueKey> {
        let (start, customer) = self.active.pop_first()?;
        self.virtual_time = self.virtual_time.max(start);
        let flow = self.flows.get_mut(&customer)?;
        let (key, cost) = flow.waiting.pop_first()?;
        self.len -= 1;
        let advance = UNIT * u64::from(cost) / u64::from(flow.weight);
        flow.start = start.saturating_add(advance.max(1));
        if flow.waiting.is_empty() {
            self.active_weight -= u64::from(flow.weight);
        } else {
            self.active.insert((flow.start, customer));
        }
        Some(key)
    }

    /// Counts a request that is served without waiting.
    pub(super) fn charge(&mut self, now: Timestamp, customer: &Name, weight: u32, cost: u32) {
        self.sweep(now);
        let flow = self.flows.entry(customer.clone()).or_default();
        flow.weight = weight.max(1);
        let credit = UNIT * CREDIT / u64::from(flow.weight);
        let start = flow.start.max(self.virtual_time.saturating_sub(credit));
        self.virtual_time = self.virtual_time.max(start);
        let advance = UNIT * u64::from(cost) / u64::from(flow.weight);
        flow.start = start.saturating_add(advance.max(1));
    }

    /// Takes one request out of turn; `false` when it does not wait here.
    pub(super) fn remove(&mut self, customer: &Name, key: QueueKey) -> bool {
        let Some(flow) = self.flows.get_mut(customer) else {
            return false;
        };
        if flow.waiting.remove(&key).is_none() {
            return false;
        }
        self.len -= 1;
        if flow.waiting.is_empty() {
            self.active.remove(&(flow.start, customer.clone()));
            self.active_weight -= u64::from(flow.weight);
        }
        true
    }

    /// Requests served, at most, before the one at `key`: those of its own customer at that
    /// customer's part of the rate, but no more than all that wait.
    pub(super) fn ahead(&self, customer: &str, key: QueueKey) -> f64 {
        let Some(flow) = self.flows.get(customer) else {
            return 0.0;
        };
        let own = flow.waiting.range(..key).count();
        let rounds = count(own + 1) / f64::from(flow.weight.max(1));
        (rounds * self.active_weight()).min(count(self.len))
    }

    /// Part of the rate that a customer gets while all that wait now go on waiting.
    pub(super) fn part(&self, customer: &str, weight: u32) -> f64 {
        let weight = f64::from(weight.max(1));
        let waits = self
            .flows
            .get(customer)
            .is_some_and(|f| !f.waiting.is_empty());
        let others = self.active_weight() - if waits { weight } else { 0.0 };
        weight / (others.max(0.0) + weight)
    }

    /// Appoints the next refused caller of a customer, `gap` after the one before.
    pub(super) fn appoint(
        &mut self,
        customer: &Name,
        soonest: Timestamp,
        gap: Duration,
    ) -> Timestamp {
        let flow = self.flows.entry(customer.clone()).or_default();
        let visit = flow.next_visit.max(soonest);
        flow.next_visit = visit + gap;
        visit
    }

    fn active_weight(&self) -> f64 {
        f64::from(u32::try_from(self.active_weight).unwrap_or(u32::MAX))
    }

    /// Forgets customers that neither wait nor owe anything.
    fn sweep(&mut self, now: Timestamp) {
        if self.flows.len() < self.sweep_at {
            return;
        }
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, f| !f.waiting.is_empty() || f.start > virtual_time || f.next_visit > now);
        self.sweep_at = SWEEP.max(self.flows.len() * 2);
    }
}

fn count(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
