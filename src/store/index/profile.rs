//! How long blocks of one kind wait for their next read.

use crate::prelude::*;

/// Age classes; each is twice as wide as the one before it.
const CLASSES: usize = 24;
/// Width of the first age class, in seconds.
const FIRST_CLASS_S: f64 = 0.25;
/// Weight of the assumption that a block is read again after as long as it has waited, in reads.
const PRIOR_READS: f64 = 1.0;
/// Least age that the assumption counts with, in seconds.
const PRIOR_AGE_S: f64 = 1.0;
/// Observations after which older ones count half.
const HALVED_AFTER: f64 = 4096.0;
/// Observations between two calculations of the densities.
const RECALCULATED_AFTER: u32 = 64;

/// Reads and evictions by age, and the hit density that follows from them.
///
/// The hit density of an age is the expected number of reads over the expected time that a block
/// of this age still takes up space (Beckmann, Chen and Cidon, "LHD: Improving Cache Hit Rate by
/// Maximizing Hit Density", NSDI 2018).
#[derive(Clone, Debug)]
pub(super) struct AgeProfile {
    reads: [f64; CLASSES],
    evictions: [f64; CLASSES],
    density: [f64; CLASSES],
    total: f64,
    fresh: u32,
}

impl Default for AgeProfile {
    fn default() -> Self {
        let mut profile = Self {
            reads: [0.0; CLASSES],
            evictions: [0.0; CLASSES],
            density: [0.0; CLASSES],
            total: 0.0,
            fresh: 0,
        };
        profile.recalculate();
        profile
    }
}

impl AgeProfile {
    /// Observations that count now.
    pub(super) fn total(&self) -> f64 {
        self.total
    }

    pub(super) fn read(&mut self, age: Duration) {
        self.reads[class_of(age)] += 1.0;
        self.observed();
    }

    pub(super) fn evicted(&mut self, age: Duration) {
        self.evictions[class_of(age)] += 1.0;
        self.observed();
    }

    /// Expected reads per second of space at `age`.
    pub(super) fn density(&self, age: Duration) -> f64 {
        self.density[class_of(age)]
    }

    fn observed(&mut self) {
        self.total += 1.0;
        if self.total > HALVED_AFTER {
            self.reads.iter_mut().for_each(|n| *n /= 2.0);
            self.evictions.iter_mut().for_each(|n| *n /= 2.0);
            self.total /= 2.0;
        }
        self.fresh += 1;
        if self.fresh >= RECALCULATED_AFTER {
            self.fresh = 0;
            self.recalculate();
        }
    }

    fn recalculate(&mut self) {
        let mut reads = 0.0;
        let mut ends = 0.0;
        let mut ages = 0.0;
        for class in (0..CLASSES).rev() {
            let count = self.reads[class] + self.evictions[class];
            reads += self.reads[class];
            ends += count;
            ages += count * middle_s(class);
            let age = start_s(class);
            let space = (ages - ends * age).max(0.0);
            let prior = age.max(PRIOR_AGE_S);
            self.density[class] = (reads + PRIOR_READS) / (space + PRIOR_READS * prior);
        }
    }
}

fn class_of(age: Duration) -> usize {
    let widths = age.as_secs_f64() / FIRST_CLASS_S;
    let limit = u64::MAX >> (u64::BITS as usize - CLASSES + 1);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "ages are positive and limited just below"
    )]
    let widths = (widths as u64).min(limit);
    (u64::BITS - widths.leading_zeros()) as usize
}

fn start_s(class: usize) -> f64 {
    match class {
        0 => 0.0,
        _ => FIRST_CLASS_S * f64::from(1_u32 << (class - 1)),
    }
}

fn middle_s(class: usize) -> f64 {
    f64::midpoint(start_s(class), FIRST_CLASS_S * f64::from(1_u32 << class))
}
