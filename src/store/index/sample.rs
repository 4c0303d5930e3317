//! A set of generations that can be sampled.

use std::collections::HashMap;

use crate::store::index::Generation;

/// Candidates looked at for one eviction.
const CANDIDATES: usize = 32;

/// Generations in no order, with constant-time changes.
#[derive(Debug, Default)]
pub(super) struct SampleSet {
    list: Vec<Generation>,
    places: HashMap<Generation, usize>,
}

impl SampleSet {
    pub(super) fn len(&self) -> usize {
        self.list.len()
    }

    pub(super) fn contains(&self, generation: Generation) -> bool {
        self.places.contains_key(&generation)
    }

    pub(super) fn insert(&mut self, generation: Generation) {
        if self.contains(generation) {
            return;
        }
        self.places.insert(generation, self.list.len());
        self.list.push(generation);
    }

    pub(super) fn remove(&mut self, generation: Generation) -> bool {
        let Some(place) = self.places.remove(&generation) else {
            return false;
        };
        self.list.swap_remove(place);
        if let Some(moved) = self.list.get(place) {
            self.places.insert(*moved, place);
        }
        true
    }

    /// The eligible generation of lowest score among a random sample, or among all when the sample
    /// has no eligible one; `score` gives none for an ineligible generation.
    pub(super) fn lowest(
        &self,
        rng: &mut fastrand::Rng,
        score: impl Fn(Generation) -> Option<f64>,
    ) -> Option<Generation> {
        let lowest = |candidates: &mut dyn Iterator<Item = Generation>| {
            candidates
                .filter_map(|g| score(g).map(|s| (s, g)))
                .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
                .map(|(_, g)| g)
        };
        if self.list.len() > CANDIDATES {
            let mut sample = (0..CANDIDATES).map(|_| self.list[rng.usize(..self.list.len())]);
            if let Some(found) = lowest(&mut sample) {
                return Some(found);
            }
        }
        lowest(&mut self.list.iter().copied())
    }
}
