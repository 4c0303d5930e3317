//! Weight versions on which new requests may start.

use std::collections::BTreeMap;

use crate::name_hash::name_hash;
use crate::prelude::*;

/// Longest time after the declaration of a version during which requests may still start on older
/// ones.
const MAX_OLD_VERSION_PERIOD: Duration = Duration::from_secs(9);
/// Time before the deadline for a declared version from which no request starts on an older one: the
/// declaration was noticed late, and a request may wait at its target.
const VERSION_DEADLINE_RESERVE: Duration = Duration::from_secs(3);
/// Age up to which declarations are reported to peers even if no target runs an older version.
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
    /// the time of the declaration is unknown, in which case that time counts as passed. The platform
    /// store keeps only the newest version, so this entry may not know of one before it.
    declared: BTreeMap<u64, Option<Timestamp>>,
    /// Newest version that this entry itself has read; zero before the first one.
    newest_read: u64,
    /// Number of targets that have loaded each version.
    loaded: BTreeMap<u64, usize>,
}

impl ModelVersions {
    fn newest(&self) -> Option<u64> {
        self.declared.last_key_value().map(|(version, _)| *version)
    }

    /// The oldest version on which a request may start; `None` if all may be used.
    fn floor(&self, now: Timestamp) -> Option<u64> {
        let (newest_loaded, _) = self.loaded.last_key_value()?;
        let passed = self.declared.iter().rev();
        let passed = passed.filter(|(_, cutoff)| cutoff.is_none_or(|at| now >= at));
        for (version, cutoff) in passed {
            if newest_loaded >= version {
                return Some(*version);
            }
            if cutoff.is_none() {
                // Versions that this entry does not know may have been declared long before.
                return Some(*newest_loaded);
            }
        }
        None
    }

    /// Declared versions that peers may need: the oldest one on which a request may start and those
    /// after it, while targets run older ones or the declaration is recent.
    fn reported(&self, now: Timestamp, period: Duration) -> impl Iterator<Item = Declaration> {
        let floor = self.floor(now).unwrap_or_default();
        let oldest_loaded = self.loaded.first_key_value().map(|(version, _)| *version);
        let known = self.declared.range(floor..);
        known.filter_map(move |(version, cutoff)| {
            let age = cutoff.map(|cutoff| (now + period).saturating_sub(cutoff));
            let is_recent = age.is_some_and(|age| age < MAX_REPORTED_AGE);
            let matters = oldest_loaded.is_some_and(|loaded| loaded < *version);
            let version = *version;
            (is_recent || matters).then_some(Declaration { version, age })
        })
    }
}

/// What an entry tells its peers of a declared version.
#[derive(Clone, Copy, Debug)]
struct Declaration {
    version: u64,
    /// Time since the declaration; `None` if unknown.
    age: Option<Duration>,
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

    /// Records a version that was just declared for a model; returns whether this entry had not read
    /// it before.
    pub fn declare(&mut self, now: Timestamp, model: &Name, version: u64) -> bool {
        self.add(model, version, Some(now + self.old_version_period))
    }

    /// Records a version that was declared for a model at an unknown time, such as before this
    /// process started.
    pub fn declare_at_unknown_time(&mut self, model: &Name, version: u64) -> bool {
        self.add(model, version, None)
    }

    /// Records a declared version, unless this entry has read it or a newer one before.
    fn add(&mut self, model: &Name, version: u64, cutoff: Option<Timestamp>) -> bool {
        let model = self.models.entry(model.clone()).or_default();
        let is_new = version > model.newest_read;
        if is_new {
            model.newest_read = version;
            let known = model.declared.entry(version).or_default();
            // A peer may have told it before.
            *known = known.or(cutoff);
        }
        is_new
    }

    /// Records the age of a declaration that a peer reported, also of a version that this entry has
    /// not read; `model` is the hash of the model's name. Returns the cutoff that follows from it if
    /// it is news.
    pub fn record_declaration_age(
        &mut self,
        now: Timestamp,
        model: u32,
        version: u64,
        age: Duration,
    ) -> Option<VersionCutoff> {
        let reported = (now + self.old_version_period).saturating_sub(age);
        let (name, model) = self.find_model(model)?;
        let cutoff = model.declared.entry(version).or_default();
        let known = cutoff.replace(cutoff.map_or(reported, |known| known.min(reported)));
        let is_news = known.is_none_or(|known| reported + CUTOFF_LOG_STEP <= known);
        is_news.then(|| VersionCutoff {
            model: name.clone(),
            version,
            time_left: reported.saturating_sub(now),
        })
    }

    /// Records a version that a peer knows and whose age it does not know; until another peer reports
    /// it, the version counts as declared long ago.
    pub fn record_undated_declaration(&mut self, model: u32, version: u64) {
        if let Some((_, model)) = self.find_model(model) {
            model.declared.entry(version).or_default();
        }
    }

    fn find_model(&mut self, hash: u32) -> Option<(&Name, &mut ModelVersions)> {
        let mut models = self.models.iter_mut();
        models.find(|(name, _)| name_hash(name) == hash)
    }

    /// Declarations to report to peers: the hash of the model's name, the version, and the
    /// declaration's age.
    pub fn declaration_ages(&self, now: Timestamp) -> impl Iterator<Item = (u32, u64, Duration)> {
        let reported = self.reported(now);
        reported.filter_map(|(model, d)| Some((model, d.version, d.age?)))
    }

    /// Declarations to report to peers whose age is not known: the hash of the model's name, and the
    /// version.
    pub fn undated_declarations(&self, now: Timestamp) -> impl Iterator<Item = (u32, u64)> {
        let reported = self.reported(now);
        let undated = reported.filter(|(_, d)| d.age.is_none());
        undated.map(|(model, d)| (model, d.version))
    }

    /// Declarations to report to peers, with the hash of the model's name.
    fn reported(&self, now: Timestamp) -> impl Iterator<Item = (u32, Declaration)> {
        let period = self.old_version_period;
        let models = self.models.iter();
        models.flat_map(move |(name, model)| {
            let reported = model.reported(now, period);
            reported.map(|declaration| (name_hash(name), declaration))
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

    /// Number of models of which a version was declared or loaded.
    #[must_use]
    pub fn model_count(&self) -> usize {
        self.models.len()
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
        let floor = model.floor(now).unwrap_or_default();
        let loaded = model.loaded.range(floor..).rev();
        loaded.map(|(version, _)| *version).collect()
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
