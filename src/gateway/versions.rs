//! Weight versions that new requests may begin on.

use std::collections::{BTreeMap, HashMap};

use arc_swap::ArcSwap;

use crate::prelude::*;

/// Time after a version was named from which nothing new begins on an older one.
const OLD_WEIGHTS: Duration = Duration::from_secs(9);

/// A label by which the desk tells weight versions apart.
pub(crate) fn label(model: &str, version: u64) -> Name {
    format!("{model}/{version}").into()
}

#[derive(Clone, Debug, Default)]
struct Model {
    named: Option<(u64, Stamp)>,
    found: BTreeMap<u64, usize>,
}

/// Versions as operators named them and as targets have them.
#[derive(Clone, Debug, Default)]
pub struct VersionBook {
    models: BTreeMap<Name, Model>,
}

impl VersionBook {
    /// Takes the newest version named for a model; an older one than known is ignored.
    pub fn name(&mut self, now: Stamp, model: &Name, version: u64) {
        let model = self.models.entry(model.clone()).or_default();
        if model.named.is_none_or(|(known, _)| known < version) {
            model.named = Some((version, now));
        }
    }

    /// Takes the versions that targets have ready, one item for each target.
    pub fn find(&mut self, found: impl IntoIterator<Item = (Name, u64)>) {
        for model in self.models.values_mut() {
            model.found.clear();
        }
        for (name, version) in found {
            let model = self.models.entry(name).or_default();
            *model.found.entry(version).or_default() += 1;
        }
    }

    /// The newest version named for a model.
    #[must_use]
    pub fn named(&self, model: &str) -> Option<u64> {
        self.models.get(model)?.named.map(|(version, _)| version)
    }

    /// The newest version named for any model.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        let named = self.models.values().filter_map(|m| m.named);
        named.map(|(version, _)| version).max()
    }

    /// Versions on which a request may begin now, newest first.
    #[must_use]
    pub fn allowed(&self, now: Stamp, model: &str) -> SmallVec<[u64; 2]> {
        let Some(model) = self.models.get(model) else {
            return SmallVec::new();
        };
        let mut found: SmallVec<[u64; 2]> = model.found.keys().rev().copied().collect();
        if let Some((version, at)) = model.named
            && now >= at + OLD_WEIGHTS
            && found.iter().any(|v| *v >= version)
        {
            found.retain(|v| *v >= version);
        }
        found
    }

    /// All models, with the versions on which a request may begin now.
    pub fn view(&self, now: Stamp) -> impl Iterator<Item = (&Name, SmallVec<[Name; 2]>)> {
        self.models.keys().map(move |model| {
            let allowed = self.allowed(now, model);
            let labels = allowed.into_iter().map(|v| label(model, v));
            (model, labels.collect())
        })
    }
}

/// The versions allowed now, for the requests' tasks.
#[derive(Debug, Default)]
pub(crate) struct VersionView(ArcSwap<HashMap<Name, SmallVec<[Name; 2]>>>);

impl VersionView {
    /// Labels of the versions on which a request may begin, newest first.
    pub(crate) fn allowed(&self, model: &str) -> SmallVec<[Name; 2]> {
        self.0.load().get(model).cloned().unwrap_or_default()
    }

    /// Replaces the view.
    pub(crate) fn set(&self, book: &VersionBook, now: Stamp) {
        let view = book
            .view(now)
            .map(|(model, labels)| (model.clone(), labels));
        self.0.store(Arc::new(view.collect()));
    }
}
