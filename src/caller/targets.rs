//! Targets and their state as this entry knows them.

use std::collections::HashMap;

use crate::prelude::*;
use crate::scheduler::TargetInfo;
use crate::target::LoadReport;

/// A target with its last load report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetState {
    /// The target, from the platform's list of VMs.
    pub info: TargetInfo,
    /// Whether it responded to the last probe, of this entry or of a peer.
    pub reachable: bool,
    /// Last load report; the default before the first.
    pub report: LoadReport,
}

/// An immutable view of all targets.
#[derive(Clone, Debug, Default)]
pub struct TargetView {
    by_name: HashMap<Name, TargetState>,
    ready: HashMap<Name, SmallVec<[Name; 2]>>,
}

impl TargetView {
    /// Indexes targets by name, and weight versions by the model that they serve.
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

    /// All targets, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &TargetState> {
        self.by_name.values()
    }

    /// Weight versions of a model that some target has ready.
    #[must_use]
    pub fn ready(&self, model: &str) -> &[Name] {
        self.ready.get(model).map_or(&[], SmallVec::as_slice)
    }
}
