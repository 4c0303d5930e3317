//! Which blocks return, and how often.

use std::collections::{HashMap, VecDeque};

use crate::cache::BlockKey;
use crate::prelude::*;

/// Expected returns of a customer's new prompt before any was seen.
const PRIOR_RETURNS: f64 = 2.0;
/// Visits that the prior counts for.
const PRIOR_VISITS: f64 = 20.0;
/// Expected further returns for each return seen.
const RETURNS_EACH: f64 = 2.0;
/// Time after which an export that did not show up in the store may be planned anew.
const EXPORT_AGAIN: Duration = Duration::from_secs(30);
/// Customers remembered at most.
const MOST_CUSTOMERS: usize = 16_384;

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    visits: u32,
    exported: Option<Stamp>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Habit {
    new: f64,
    returned: f64,
}

impl Habit {
    /// Expected returns of a new prompt.
    fn returns(self) -> f64 {
        (self.returned + PRIOR_RETURNS * PRIOR_VISITS) / (self.new + PRIOR_VISITS)
    }
}

/// What is expected of one prompt's blocks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Visit {
    returns: Vec<f64>,
    exported: u32,
}

impl Visit {
    /// Expected further returns of each block.
    #[must_use]
    pub fn returns(&self) -> &[f64] {
        &self.returns
    }

    /// Consecutive blocks whose export was planned a short time ago.
    #[must_use]
    pub fn exported(&self) -> u32 {
        self.exported
    }
}

/// Counts the visits of blocks within a bounded memory, so that what returns is kept and a prefix
/// shared by a customer's prompts counts for all of them.
#[derive(Debug)]
pub struct ReturnMemory {
    capacity: usize,
    seen: HashMap<BlockKey, Seen>,
    order: VecDeque<BlockKey>,
    habits: HashMap<Name, Habit>,
}

impl ReturnMemory {
    /// Makes a memory of at most `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            seen: HashMap::new(),
            order: VecDeque::new(),
            habits: HashMap::new(),
        }
    }

    /// Counts a visit of a customer's prompt and tells what to expect of its blocks.
    pub fn visit(&mut self, now: Stamp, customer: &Name, keys: &[BlockKey]) -> Visit {
        let expected = self.expected_returns(customer);
        let mut visit = Visit::default();
        let mut consecutive = true;
        for key in keys {
            let seen = self.count(*key);
            let returned = f64::from(seen.visits - 1);
            visit.returns.push(expected + RETURNS_EACH * returned);
            consecutive &= seen.exported.is_some_and(|at| now < at + EXPORT_AGAIN);
            visit.exported += u32::from(consecutive);
        }
        let last = keys.last().and_then(|key| self.seen.get(key));
        if let Some(seen) = last.copied() {
            self.learn(customer, seen.visits > 1);
        }
        visit
    }

    /// Records that the export of these blocks was planned.
    pub fn exported(&mut self, now: Stamp, keys: &[BlockKey]) {
        for key in keys {
            if let Some(seen) = self.seen.get_mut(key) {
                seen.exported = Some(now);
            }
        }
    }

    /// Number of blocks remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Tells whether no block is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    fn expected_returns(&self, customer: &Name) -> f64 {
        self.habits
            .get(customer)
            .copied()
            .unwrap_or_default()
            .returns()
    }

    fn learn(&mut self, customer: &Name, returned: bool) {
        if self.habits.len() >= MOST_CUSTOMERS && !self.habits.contains_key(customer) {
            return;
        }
        let habit = self.habits.entry(customer.clone()).or_default();
        if returned {
            habit.returned += 1.0;
        } else {
            habit.new += 1.0;
        }
    }

    fn count(&mut self, key: BlockKey) -> Seen {
        if let Some(seen) = self.seen.get_mut(&key) {
            seen.visits = seen.visits.saturating_add(1);
            return *seen;
        }
        let seen = Seen {
            visits: 1,
            exported: None,
        };
        self.seen.insert(key, seen);
        self.order.push_back(key);
        self.forget_oldest();
        seen
    }

    /// Forgets the oldest block, but gives one that returned a second chance.
    fn forget_oldest(&mut self) {
        while self.seen.len() > self.capacity {
            let Some(key) = self.order.pop_front() else {
                return;
            };
            match self.seen.get_mut(&key) {
                Some(seen) if seen.visits > 1 => {
                    seen.visits /= 2;
                    self.order.push_back(key);
                }
                _ => {
                    self.seen.remove(&key);
                }
            }
        }
    }
}
