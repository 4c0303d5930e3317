//! Queued requests that may run on the same weight versions.

use crate::catalog::PriorityClass;
use crate::prelude::*;
use crate::scheduler::fair_queue::FairQueue;
use crate::scheduler::flow::QueueKey;
use crate::scheduler::scan::Scan;

/// Weights of the priority classes interactive, standard and patient in stride scheduling.
const CLASS_WEIGHTS: [u32; 3] = [8, 3, 1];
/// Stride of a class with weight one: by how much one dispatch advances its pass. Divisible by
/// every class weight.
const STRIDE: u64 = 24;

/// Queued requests of one pool that accept the same weight versions.
///
/// Priority classes share the targets by weight (stride scheduling, Waldspurger and Weihl 1995),
/// customers share each class by fair queueing, and a customer's requests go by their own times.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// Weight versions, preferred first.
    pub(super) weights: SmallVec<[Name; 2]>,
    /// Queues of the priority classes.
    classes: [FairQueue; 3],
    /// Passes of the priority classes.
    passes: [u64; 3],
    /// Pass of the class that was served last, before that dispatch.
    pass: u64,
}

impl Lane {
    /// Makes an empty lane.
    pub(super) fn new(weights: SmallVec<[Name; 2]>) -> Self {
        Self {
            weights,
            ..Self::default()
        }
    }

    /// The queue of a priority class.
    pub(super) fn class(&self, class: PriorityClass) -> &FairQueue {
        &self.classes[usize::from(class.priority())]
    }

    /// The queue of a priority class, for changes.
    pub(super) fn class_mut(&mut self, class: PriorityClass) -> &mut FairQueue {
        &mut self.classes[usize::from(class.priority())]
    }

    /// Number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.classes.iter().map(FairQueue::len).sum()
    }

    /// Advances the pass of a class that was empty, so that it is not favored for its idle time.
    /// Called before a request is added.
    pub(super) fn activate(&mut self, class: PriorityClass) {
        let n = usize::from(class.priority());
        if self.classes[n].len() == 0 {
            self.passes[n] = self.passes[n].max(self.pass);
        }
    }

    /// Removes the next request that `scan` accepts: of the class with the lowest pass that has one.
    pub(super) fn pop(&mut self, now: Timestamp, scan: &mut Scan<'_>) -> Option<QueueKey> {
        let mut waiting: SmallVec<[usize; 3]> =
            (0..3).filter(|n| self.classes[*n].len() > 0).collect();
        waiting.sort_by_key(|n| self.passes[*n]);
        waiting.into_iter().find_map(|n| {
            let key = self.classes[n].pop(now, scan)?;
            self.advance(n);
            Some(key)
        })
    }

    /// Removes a request as dispatched out of turn: its class and customer are charged for it.
    /// `false` when it is not queued here.
    pub(super) fn take(&mut self, class: PriorityClass, customer: &Name, key: QueueKey) -> bool {
        let n = usize::from(class.priority());
        let was_queued = self.classes[n].take(customer, key);
        if was_queued {
            self.advance(n);
        }
        was_queued
    }

    fn advance(&mut self, n: usize) {
        self.pass = self.passes[n];
        self.passes[n] += STRIDE / u64::from(CLASS_WEIGHTS[n]);
    }

    /// Charges class and customer for a request that is dispatched without queueing, while the lane
    /// is empty.
    pub(super) fn charge(
        &mut self,
        now: Timestamp,
        class: PriorityClass,
        customer: &Name,
        weight: u32,
        cost: u32,
    ) {
        self.activate(class);
        let n = usize::from(class.priority());
        self.advance(n);
        self.classes[n].charge(now, customer, weight, cost);
    }

    /// Share of the dispatch rate that a class gets beside the other classes that have requests
    /// queued now, between zero and one.
    pub(super) fn class_share(&self, class: PriorityClass) -> f64 {
        let own = usize::from(class.priority());
        let waiting = (0..3).filter(|n| *n == own || self.classes[*n].len() > 0);
        let total: u32 = waiting.map(|n| CLASS_WEIGHTS[n]).sum();
        f64::from(CLASS_WEIGHTS[own]) / f64::from(total)
    }
}
