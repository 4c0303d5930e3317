//! Targets as this entry knows them.

use std::collections::HashMap;

use crate::prelude::*;
use crate::scheduler::TargetInfo;
use crate::target::LoadReport;

/// A target with its last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetState {
    /// The target as the platform lists it.
    pub info: TargetInfo,
    /// Whether it answered the last probe that is known of.
    pub reported: bool,
    /// Its last load report; the default before the first.
    pub report: LoadReport,
}

/// An immutable view of all targets.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    by_name: HashMap<Name, TargetState>,
    ready: HashMap<Name, SmallVec<[Name; 2]>>,
}

impl TargetView {
    /// Builds the view.
    pub fn new(states: impl IntoIterator<Item = TargetState>) -> Self {
        let mut view = Self::default();
        for state in states {
            let ready = view.ready.entry(state.info.serves.clone()).or_default();
            for weights in &state.report.weights {
                if !ready.contains(weights) {
                    ready.push(weights.clone());
                }
            }
            view.by_name.insert(state.info.name.clone(), state);
        }
        view
    }

    /// Finds a target by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&TargetState> {
        self.by_name.get(name)
    }

    /// All targets, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &TargetState> {
        self.by_name.values()
    }

    /// Weight versions of a model that some target has ready.
    #[must_use]
    pub fn ready(&self, model: &str) -> &[Name] {
        self.ready.get(model).map_or(&[], SmallVec::as_slice)
    }
}
