//! Running estimate of a quantile.

/// Relative step of one correction.
const STEP: f64 = 0.05;
/// Samples before the estimate is used.
const ENOUGH: u32 = 20;

/// Estimates one quantile of a stream in constant space by stochastic approximation
/// (Robbins and Monro 1951), with steps proportional to the estimate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quantile {
    share: f64,
    value: f64,
    samples: u32,
}

impl Quantile {
    /// Makes an estimate of the quantile `share`, between zero and one.
    pub(super) fn new(share: f64) -> Self {
        Self {
            share,
            value: 0.0,
            samples: 0,
        }
    }

    /// Adds a positive sample.
    pub(super) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.value = sample;
            return;
        }
        let up = if sample > self.value {
            self.share
        } else {
            self.share - 1.0
        };
        self.value *= 1.0 + STEP * up;
        self.value = self.value.max(f64::MIN_POSITIVE);
    }

    /// The estimate, once enough samples were seen.
    pub(super) fn get(&self) -> Option<f64> {
        (self.samples >= ENOUGH).then_some(self.value)
    }
}
