//! Weight versions that new requests may begin on.

use std::collections::{BTreeMap, HashMap};

use arc_swap::ArcSwap;

use crate::name_hash::name_hash;
use crate::prelude::*;

/// Time after a version was named from which nothing new begins on an older one.
const OLD_WEIGHTS: Duration = Duration::from_secs(9);
/// Age up to which peers are told when a version was named: whoever missed it must not take it for
/// newer than it is.
const TOLD_AGE: Duration = Duration::from_secs(30);

/// A label by which the desk tells weight versions apart.
pub(crate) fn label(model: &str, version: u64) -> Name {
    format!("{model}/{version}").into()
}

#[derive(Clone, Debug, Default)]
struct Model {
    /// Versions named, with the time from which nothing begins on older ones; `None` when it was
    /// named at a time that is not known, so that the time counts as over.
    named: BTreeMap<u64, Option<Timestamp>>,
    found: BTreeMap<u64, usize>,
}

impl Model {
    fn newest(&self) -> Option<u64> {
        self.named.last_key_value().map(|(version, _)| *version)
    }
}

/// Versions as operators named them and as targets have them.
#[derive(Clone, Debug, Default)]
pub struct VersionBook {
    models: BTreeMap<Name, Model>,
}

impl VersionBook {
    /// Takes a version named for a model just now.
    pub fn name(&mut self, now: Timestamp, model: &Name, version: u64) {
        self.add(model, version, Some(now + OLD_WEIGHTS));
    }

    /// Takes a version that was named for a model at a time that is not known, such as before this
    /// process started.
    pub fn name_before(&mut self, model: &Name, version: u64) {
        self.add(model, version, None);
    }

    /// Adds a version; one that is no newer than those known is ignored.
    fn add(&mut self, model: &Name, version: u64, lapse: Option<Timestamp>) {
        let model = self.models.entry(model.clone()).or_default();
        if model.newest().is_none_or(|known| known < version) {
            model.named.insert(version, lapse);
        }
    }

    /// Takes a peer's word of how long ago a version was named; `model` is a short identity.
    pub fn take_age(&mut self, now: Timestamp, model: u32, version: u64, age: Duration) {
        let mut models = self.models.iter_mut();
        let found = models.find(|(name, _)| name_hash(name) == model);
        let Some(lapse) = found.and_then(|(_, m)| m.named.get_mut(&version)) else {
            return;
        };
        let told = (now + OLD_WEIGHTS).saturating_sub(age);
        *lapse = Some(lapse.map_or(told, |known| known.min(told)));
    }

    /// How long ago versions were named, by the short identities of their models.
    pub fn ages(&self, now: Timestamp) -> impl Iterator<Item = (u32, u64, Duration)> {
        let models = self.models.iter();
        models.flat_map(move |(name, model)| {
            let known = model.named.iter();
            known.filter_map(move |(version, lapse)| {
                let age = (now + OLD_WEIGHTS).saturating_sub((*lapse)?);
                (age < TOLD_AGE).then(|| (name_hash(name), *version, age))
            })
        })
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
        self.models.get(model)?.newest()
    }

    /// The newest version named for any model.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        self.models.values().filter_map(Model::newest).max()
    }

    /// Versions on which a request may begin now, newest first.
    #[must_use]
    pub fn allowed(&self, now: Timestamp, model: &str) -> SmallVec<[u64; 2]> {
        let Some(model) = self.models.get(model) else {
            return SmallVec::new();
        };
        let mut found: SmallVec<[u64; 2]> = model.found.keys().rev().copied().collect();
        let lapsed = model.named.iter().rev();
        let mut lapsed = lapsed.filter(|(_, lapse)| lapse.is_none_or(|at| now >= at));
        if let Some((floor, _)) = lapsed.next()
            && found.iter().any(|v| v >= floor)
        {
            found.retain(|v| *v >= *floor);
        }
        found
    }

    /// All models, with the versions on which a request may begin now.
    pub fn view(&self, now: Timestamp) -> impl Iterator<Item = (&Name, SmallVec<[Name; 2]>)> {
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
    pub(crate) fn set(&self, book: &VersionBook, now: Timestamp) {
        let view = book
            .view(now)
            .map(|(model, labels)| (model.clone(), labels));
        self.0.store(Arc::new(view.collect()));
    }
}
