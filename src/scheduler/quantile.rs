//! Running estimate of a quantile.

/// Largest change of the estimate by one sample, relative to the estimate.
const RELATIVE_STEP: f64 = 0.05;
/// Samples needed before the estimate is used.
const MIN_SAMPLES: u32 = 20;

/// Estimates one quantile of a stream in constant space by stochastic approximation
/// (Robbins and Monro 1951), with steps proportional to the estimate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quantile {
    probability: f64,
    value: f64,
    samples: u32,
}

impl Quantile {
    /// Makes an estimate of the quantile at `probability`, between zero and one.
    pub(super) fn new(probability: f64) -> Self {
        Self {
            probability,
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
        let direction = if sample > self.value {
            self.probability
        } else {
            self.probability - 1.0
        };
        self.value *= 1.0 + RELATIVE_STEP * direction;
        self.value = self.value.max(f64::MIN_POSITIVE);
    }

    /// The estimate, or `None` before enough samples were added.
    pub(super) fn get(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.value)
    }
}
