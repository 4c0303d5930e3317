//! Weight versions on which new requests may start.

use std::collections::{BTreeMap, HashMap};

use arc_swap::ArcSwap;

use crate::name_hash::name_hash;
use crate::prelude::*;

/// Longest time after the declaration of a version during which requests may still start on older
/// ones.
const MAX_OLD_VERSION_PERIOD: Duration = Duration::from_secs(9);
/// Time before the deadline for a declared version from which no request starts on an older one: the
/// declaration was noticed late, and a request may wait at its target.
const VERSION_DEADLINE_RESERVE: Duration = Duration::from_secs(3);
/// Age up to which declarations are reported to peers, so that an entry that was unreachable or
/// restarted does not count the time for older versions from too late a moment.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(30);

/// Difference below which an earlier cutoff is not logged: peers notice a declaration at about the
/// same time.
const CUTOFF_LOG_STEP: Duration = Duration::from_millis(500);

/// Label of a weight version, by which the scheduler distinguishes versions of all models.
pub(crate) fn version_label(model: &str, version: u64) -> Name {
    format!("{model}/{version}").into()
}

/// Time from which no request may start on weights older than a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionCutoff {
    /// Name of the model.
    pub model: Name,
    /// The version.
    pub version: u64,
    /// Time until the cutoff; zero if it has passed.
    pub time_left: Duration,
}

#[derive(Clone, Debug, Default)]
struct ModelVersions {
    /// Declared versions, with the time from which no request may start on an older one; `None` if
    /// the time of the declaration is unknown, in which case that time counts as passed.
    declared: BTreeMap<u64, Option<Timestamp>>,
    /// Number of targets that have loaded each version.
    loaded: BTreeMap<u64, usize>,
}

impl ModelVersions {
    fn newest(&self) -> Option<u64> {
        self.declared.last_key_value().map(|(version, _)| *version)
    }
}

/// Weight versions that operators declared and that targets have loaded, by model.
#[derive(Clone, Debug)]
pub struct WeightVersions {
    models: BTreeMap<Name, ModelVersions>,
    /// Time after the declaration of a version during which requests may still start on older ones.
    old_version_period: Duration,
}

impl Default for WeightVersions {
    fn default() -> Self {
        Self {
            models: BTreeMap::new(),
            old_version_period: MAX_OLD_VERSION_PERIOD,
        }
    }
}

impl WeightVersions {
    /// Allows requests to start on older versions until shortly before `deadline` has passed since
    /// the declaration of a newer one.
    #[must_use]
    pub fn with_deadline(deadline: Duration) -> Self {
        let period = deadline.saturating_sub(VERSION_DEADLINE_RESERVE);
        Self {
            old_version_period: period.min(MAX_OLD_VERSION_PERIOD),
            ..Self::default()
        }
    }

    /// Records a version that was just declared for a model.
    pub fn declare(&mut self, now: Timestamp, model: &Name, version: u64) {
        self.add(model, version, Some(now + self.old_version_period));
    }

    /// Records a version that was declared for a model at an unknown time, such as before this
    /// process started.
    pub fn declare_at_unknown_time(&mut self, model: &Name, version: u64) {
        self.add(model, version, None);
    }

    /// Records a declared version; one that is not newer than all known ones is ignored.
    fn add(&mut self, model: &Name, version: u64, cutoff: Option<Timestamp>) {
        let model = self.models.entry(model.clone()).or_default();
        if model.newest().is_none_or(|known| known < version) {
            model.declared.insert(version, cutoff);
        }
    }

    /// Records the age of a declaration that a peer reported; `model` is the hash of the model's
    /// name. Returns the cutoff that follows from it if it is news.
    pub fn record_declaration_age(
        &mut self,
        now: Timestamp,
        model: u32,
        version: u64,
        age: Duration,
    ) -> Option<VersionCutoff> {
        let period = self.old_version_period;
        let mut models = self.models.iter_mut();
        let (name, model) = models.find(|(name, _)| name_hash(name) == model)?;
        let cutoff = model.declared.get_mut(&version)?;
        let reported = (now + period).saturating_sub(age);
        let known = cutoff.replace(cutoff.map_or(reported, |known| known.min(reported)));
        let is_news = known.is_none_or(|known| reported + CUTOFF_LOG_STEP <= known);
        is_news.then(|| VersionCutoff {
            model: name.clone(),
            version,
            time_left: reported.saturating_sub(now),
        })
    }

    /// Recent declarations: the hash of the model's name, the version, and the declaration's age.
    pub fn declaration_ages(&self, now: Timestamp) -> impl Iterator<Item = (u32, u64, Duration)> {
        let period = self.old_version_period;
        let models = self.models.iter();
        models.flat_map(move |(name, model)| {
            let known = model.declared.iter();
            known.filter_map(move |(version, cutoff)| {
                let age = (now + period).saturating_sub((*cutoff)?);
                (age < MAX_REPORTED_AGE).then(|| (name_hash(name), *version, age))
            })
        })
    }

    /// Replaces the loaded versions; `loaded` has one item for each target and model.
    pub fn set_loaded(&mut self, loaded: impl IntoIterator<Item = (Name, u64)>) {
        for model in self.models.values_mut() {
            model.loaded.clear();
        }
        for (name, version) in loaded {
            let model = self.models.entry(name).or_default();
            *model.loaded.entry(version).or_default() += 1;
        }
    }

    /// The newest version declared for a model.
    #[must_use]
    pub fn newest_declared(&self, model: &str) -> Option<u64> {
        self.models.get(model)?.newest()
    }

    /// The newest version declared for any model.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        self.models.values().filter_map(ModelVersions::newest).max()
    }

    /// Loaded versions on which a request may start now, newest first. Some time after a version's
    /// declaration (`old_version_period`), older ones are excluded, unless no target has loaded
    /// that version or a newer one.
    #[must_use]
    pub fn allowed(&self, now: Timestamp, model: &str) -> SmallVec<[u64; 2]> {
        let Some(model) = self.models.get(model) else {
            return SmallVec::new();
        };
        let mut allowed: SmallVec<[u64; 2]> = model.loaded.keys().rev().copied().collect();
        let passed = model.declared.iter().rev();
        let mut passed = passed.filter(|(_, cutoff)| cutoff.is_none_or(|at| now >= at));
        if let Some((floor, _)) = passed.next()
            && allowed.iter().any(|v| v >= floor)
        {
            allowed.retain(|v| *v >= *floor);
        }
        allowed
    }

    /// All models, with the labels of the versions on which a request may start now.
    pub fn allowed_labels(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&Name, SmallVec<[Name; 2]>)> {
        self.models.keys().map(move |model| {
            let allowed = self.allowed(now, model);
            let labels = allowed.into_iter().map(|v| version_label(model, v));
            (model, labels.collect())
        })
    }
}

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
