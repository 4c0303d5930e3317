//! Waiting requests that the same targets may run.

use crate::catalog::PriorityClass;
use crate::decide::fair_queue::FairQueue;
use crate::decide::flow::QueueKey;
use crate::prelude::*;

/// Weights of the classes interactive, standard and patient while all of them wait.
const CLASS_WEIGHTS: [u32; 3] = [8, 3, 1];
/// Virtual time of one request at weight one; divisible by every class weight.
const STRIDE: u64 = 24;

/// Waiting requests that the same weight versions may run: classes share the targets by weight,
/// customers share each class, and the earliest deadline of a customer goes first.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// Weight versions, preferred first.
    pub(super) weights: SmallVec<[Name; 2]>,
    classes: [FairQueue; 3],
    passes: [u64; 3],
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

    /// The queue of one class.
    pub(super) fn class(&self, class: PriorityClass) -> &FairQueue {
        &self.classes[usize::from(class.priority())]
    }

    /// The queue of one class, to be changed.
    pub(super) fn class_mut(&mut self, class: PriorityClass) -> &mut FairQueue {
        &mut self.classes[usize::from(class.priority())]
    }

    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.classes.iter().map(FairQueue::len).sum()
    }

    /// Notes that a class begins to wait, so that it gains nothing from its idle time.
    pub(super) fn wake(&mut self, class: PriorityClass) {
        let n = usize::from(class.priority());
        if self.classes[n].len() == 0 {
            self.passes[n] = self.passes[n].max(self.pass);
        }
    }

    /// Takes the next request.
    pub(super) fn pop(&mut self) -> Option<QueueKey> {
        let waiting = (0..3).filter(|n| self.classes[*n].len() > 0);
        let n = waiting.min_by_key(|n| self.passes[*n])?;
        self.pass = self.passes[n];
        self.passes[n] += STRIDE / u64::from(CLASS_WEIGHTS[n]);
        self.classes[n].pop()
    }

    /// Counts a request that is served without waiting, while nothing waits.
    pub(super) fn charge(
        &mut self,
        now: Stamp,
        class: PriorityClass,
        customer: &Name,
        weight: u32,
        cost: u32,
    ) {
        self.wake(class);
        let n = usize::from(class.priority());
        self.pass = self.passes[n];
        self.passes[n] += STRIDE / u64::from(CLASS_WEIGHTS[n]);
        self.classes[n].charge(now, customer, weight, cost);
    }

    /// Part of the rate that a class gets while all classes that wait now go on waiting.
    pub(super) fn class_part(&self, class: PriorityClass) -> f64 {
        let own = usize::from(class.priority());
        let waiting = (0..3).filter(|n| *n == own || self.classes[*n].len() > 0);
        let total: u32 = waiting.map(|n| CLASS_WEIGHTS[n]).sum();
        f64::from(CLASS_WEIGHTS[own]) / f64::from(total)
    }
}
