//! Weighted fair queueing among customers.

use std::collections::{BTreeSet, HashMap};

use crate::prelude::*;
use crate::scheduler::flow::{Flow, QueueKey};
use crate::scheduler::scan::Scan;

/// Virtual time of one unit of cost (see [`Request::cost`]) for a customer with weight one.
///
/// [`Request::cost`]: crate::scheduler::request::Request::cost
const VIRTUAL_TIME_PER_COST: u64 = 1 << 24;
/// Units of cost for which a customer is served ahead of others after it was idle.
const IDLE_CREDIT: u64 = 32;
/// Number of flows at which idle ones are first removed.
const MIN_FLOWS_TO_SWEEP: usize = 256;

/// Start-time fair queueing among customers (Goyal, Vin and Cheng 1997); within each customer, the
/// request that has to be dispatched first, as long as it can meet its time.
#[derive(Debug)]
pub(super) struct FairQueue {
    flows: HashMap<Name, Flow>,
    /// Customers with queued requests, by virtual start.
    active: BTreeSet<(u64, Name)>,
    /// Virtual start of the latest dispatched request.
    virtual_time: u64,
    /// Sum of the weights of the active customers.
    active_weight: u64,
    /// Number of queued requests.
    len: usize,
    /// Number of flows at which idle ones are removed next.
    sweep_at_len: usize,
}

impl Default for FairQueue {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            active: BTreeSet::new(),
            virtual_time: 0,
            active_weight: 0,
            len: 0,
            sweep_at_len: MIN_FLOWS_TO_SWEEP,
        }
    }
}

impl FairQueue {
    /// Number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Number of queued requests of one customer.
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
            let credit = VIRTUAL_TIME_PER_COST * IDLE_CREDIT / u64::from(flow.weight);
            flow.virtual_start = flow
                .virtual_start
                .max(self.virtual_time.saturating_sub(credit));
            self.active.insert((flow.virtual_start, customer.clone()));
            self.active_weight += u64::from(flow.weight);
        }
        if flow.waiting.insert(key, cost).is_none() {
            self.len += 1;
        }
    }

    /// Removes the next request that `scan` accepts: of the customer with the earliest virtual start
    /// that has one.
    pub(super) fn pop(&mut self, now: Timestamp, scan: &mut Scan<'_>) -> Option<QueueKey> {
        let (customer, key) = self.active.iter().find_map(|(_, customer)| {
            let waiting = self.flows.get(customer)?.in_order(now);
            let key = scan.find(waiting, |(_, id)| *id)?;
            Some((customer.clone(), key))
        })?;
        self.take(&customer, key).then_some(key)
    }

    /// Removes a request as dispatched: its customer is charged for it. `false` when it is not queued
    /// here.
    pub(super) fn take(&mut self, customer: &Name, key: QueueKey) -> bool {
        let Some(flow) = self.flows.get_mut(customer) else {
            return false;
        };
        let Some(cost) = flow.waiting.remove(&key) else {
            return false;
        };
        let start = flow.virtual_start;
        self.active.remove(&(start, customer.clone()));
        self.virtual_time = self.virtual_time.max(start);
        self.len -= 1;
        let advance = VIRTUAL_TIME_PER_COST * u64::from(cost) / u64::from(flow.weight);
        flow.virtual_start = start.saturating_add(advance.max(1));
        if flow.waiting.is_empty() {
            self.active_weight -= u64::from(flow.weight);
        } else {
            self.active.insert((flow.virtual_start, customer.clone()));
        }
        true
    }

    /// Charges a customer for a request that is dispatched without queueing.
    pub(super) fn charge(&mut self, now: Timestamp, customer: &Name, weight: u32, cost: u32) {
        self.sweep(now);
        let flow = self.flows.entry(customer.clone()).or_default();
        flow.weight = weight.max(1);
        let credit = VIRTUAL_TIME_PER_COST * IDLE_CREDIT / u64::from(flow.weight);
        let start = flow
            .virtual_start
            .max(self.virtual_time.saturating_sub(credit));
        self.virtual_time = self.virtual_time.max(start);
        let advance = VIRTUAL_TIME_PER_COST * u64::from(cost) / u64::from(flow.weight);
        flow.virtual_start = start.saturating_add(advance.max(1));
    }

    /// Removes a request out of turn; `false` when it is not queued here.
    pub(super) fn remove(&mut self, customer: &Name, key: QueueKey) -> bool {
        let Some(flow) = self.flows.get_mut(customer) else {
            return false;
        };
        if flow.waiting.remove(&key).is_none() {
            return false;
        }
        self.len -= 1;
        if flow.waiting.is_empty() {
            self.active.remove(&(flow.virtual_start, customer.clone()));
            self.active_weight -= u64::from(flow.weight);
        }
        true
    }

    /// Estimated number of requests dispatched up to and including the one at `key`: those of its
    /// customer, divided by the customer's share of the rate, but no more than all queued ones.
    pub(super) fn requests_ahead(&self, now: Timestamp, customer: &str, key: QueueKey) -> f64 {
        let Some(flow) = self.flows.get(customer) else {
            return 0.0;
        };
        let own = flow.ahead_of(now, key);
        let rounds = to_f64(own + 1) / f64::from(flow.weight.max(1));
        (rounds * self.active_weight()).min(to_f64(self.len))
    }

    /// Share of the dispatch rate that a customer gets beside the other customers that have
    /// requests queued now, between zero and one.
    pub(super) fn rate_share(&self, customer: &str, weight: u32) -> f64 {
        let weight = f64::from(weight.max(1));
        let waits = self
            .flows
            .get(customer)
            .is_some_and(|f| !f.waiting.is_empty());
        let others = self.active_weight() - if waits { weight } else { 0.0 };
        weight / (others.max(0.0) + weight)
    }

    /// Returns when the next refused caller of a customer may retry: `gap` after the one before it,
    /// `earliest` at the soonest.
    pub(super) fn reserve_retry(
        &mut self,
        customer: &Name,
        earliest: Timestamp,
        gap: Duration,
    ) -> Timestamp {
        let flow = self.flows.entry(customer.clone()).or_default();
        let retry_at = flow.next_retry_at.max(earliest);
        flow.next_retry_at = retry_at + gap;
        retry_at
    }

    fn active_weight(&self) -> f64 {
        f64::from(u32::try_from(self.active_weight).unwrap_or(u32::MAX))
    }

    /// Removes customers with nothing queued, nothing charged ahead and no retry still to come.
    fn sweep(&mut self, now: Timestamp) {
        if self.flows.len() < self.sweep_at_len {
            return;
        }
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, f| {
            !f.waiting.is_empty() || f.virtual_start > virtual_time || f.next_retry_at > now
        });
        self.sweep_at_len = MIN_FLOWS_TO_SWEEP.max(self.flows.len() * 2);
    }
}

fn to_f64(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
