//! Exponentially weighted moving averages.

/// Weight of a new sample once ten samples were added.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;

/// An exponentially weighted moving average; the first samples have equal weights.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ewma {
    value: f64,
    samples: u32,
}

impl Ewma {
    /// Adds a sample.
    pub(super) fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.value += weight * (sample - self.value);
    }

    /// The average, or `None` before the first sample.
    pub(super) fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }

    /// Number of samples added.
    pub(super) fn samples(&self) -> u32 {
        self.samples
    }
}
