//! Snapshot of the weight versions on which new requests may start.

use std::collections::HashMap;

use arc_swap::ArcSwap;

use crate::gateway::WeightVersions;
use crate::gateway::versions::version_label;
use crate::prelude::*;

/// Snapshot of the allowed versions, for the request tasks.
#[derive(Debug, Default)]
pub(crate) struct AllowedVersions(ArcSwap<HashMap<Name, SmallVec<[Name; 2]>>>);

impl AllowedVersions {
    /// Labels of the versions on which a request may start, newest first.
    pub(crate) fn allowed(&self, model: &str) -> SmallVec<[Name; 2]> {
        self.0.load().get(model).cloned().unwrap_or_default()
    }

    /// Whether a request may start on a version now.
    pub(crate) fn permits(&self, model: &str, version: u64) -> bool {
        let label = version_label(model, version);
        let allowed = self.0.load();
        allowed.get(model).is_some_and(|all| all.contains(&label))
    }

    /// Replaces the snapshot.
    pub(crate) fn set(&self, versions: &WeightVersions, now: Timestamp) {
        let view = versions
            .allowed_labels(now)
            .map(|(model, labels)| (model.clone(), labels));
        self.0.store(Arc::new(view.collect()));
    }
}
