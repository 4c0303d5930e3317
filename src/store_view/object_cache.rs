//! Cache of the platform store's objects of one kind.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::platform::{Listing, Object, StoreRevision, Version, WatchEvent};
use crate::prelude::*;

/// An object as sent between entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerObject {
    /// Name within its kind.
    pub name: Name,
    /// Its `spec` as JSON text.
    pub spec: String,
}

/// Objects of one kind, as last received from the platform store or a peer.
#[derive(Clone, Debug, Default)]
pub struct ObjectCache {
    revision: u64,
    /// Newest revision of a change to any object, deletions included, or of objects that a peer told;
    /// encoded in the same way.
    last_change: u64,
    objects: BTreeMap<Name, Arc<Value>>,
    /// Whether the last listing broke off. What is applied after it does not make the cache complete,
    /// so that it does not raise the revision.
    is_incomplete: bool,
    /// Version of the last listing that broke off, in the encoding of `revision`. Objects that were
    /// known before may be newer than `revision`.
    incomplete_at: u64,
    /// Objects that a restored store lacks, and until when they are kept for their writers to write
    /// them again.
    unconfirmed: BTreeMap<Name, Timestamp>,
    /// Objects of a restored store as a peer told them, and until when each is kept if the store
    /// itself lacks it.
    told_after_restore: BTreeMap<Name, Timestamp>,
}

impl ObjectCache {
    /// Store revision up to which the cache is complete, encoded by [`StoreRevision::to_bits`]; zero
    /// before the first listing.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Newest revision at which an object was changed or deleted, as far as the store has reported
    /// it, or up to which a peer told all objects; at most [`Self::revision`].
    #[must_use]
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Whether the last listing broke off before the last object.
    #[must_use]
    pub fn is_incomplete(&self) -> bool {
        self.is_incomplete
    }

    /// The objects, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Arc<Value>)> {
        self.objects.iter()
    }

    /// Whether the cache is complete beyond a version of the store.
    #[must_use]
    pub fn is_ahead_of(&self, version: &Version) -> bool {
        self.revision > revision_of(version)
    }

    /// Whether a listing is the first one after the store was restored from an older copy.
    #[must_use]
    pub fn is_restored_by(&self, listing: &Listing) -> bool {
        let era = StoreRevision::from_bits(self.revision).era();
        self.revision > 0 && StoreRevision::of(&listing.version).era() > era
    }

    /// Whether a listing is older than what is known: it arrived late, or is of a former era.
    #[must_use]
    pub fn is_outdated(&self, listing: &Listing) -> bool {
        self.is_ahead_of(&listing.version)
    }

    /// Replaces all objects with a full listing, unless it is outdated.
    pub fn replace(&mut self, listing: Listing) {
        if self.is_outdated(&listing) {
            return;
        }
        self.revision = self.revision.max(revision_of(&listing.version));
        let changes = listing.items.iter().map(|o| revision_of(&o.version));
        self.last_change = self.last_change.max(changes.max().unwrap_or_default());
        if std::mem::take(&mut self.is_incomplete) {
            // Deletions since the last complete listing may have come at any time.
            self.last_change = self.revision;
        }
        let items = listing.items.into_iter();
        self.objects = items.map(|o| (o.name, Arc::new(o.spec))).collect();
        self.unconfirmed.clear();
        self.told_after_restore.clear();
    }

    /// Adds the objects of a listing that ended before the last one. Nothing follows from what it
    /// lacks. One that is outdated is ignored, as is one of a store that was restored from an older
    /// copy, whose objects may be older than the known ones. Returns whether an object changed.
    pub fn add_listed(&mut self, listing: Listing) -> bool {
        let version = revision_of(&listing.version);
        if self.is_restored_by(&listing) || version < self.revision.max(self.incomplete_at) {
            return false;
        }
        self.is_incomplete = true;
        self.incomplete_at = version;
        let changed = listing.items.into_iter().map(|object| self.put(object));
        changed.fold(false, |any, changed| any | changed)
    }

    /// Adopts the first listing of a restored store. Objects that it lacks are kept until
    /// `keep_until`, or longer if they are written again.
    pub fn merge_restored(&mut self, listing: Listing, keep_until: Timestamp) {
        let known = std::mem::take(&mut self.objects);
        self.replace(listing);
        self.keep_missing(known, |_| Some(keep_until));
    }

    /// Replaces all objects with a full listing, except those that still wait to be written again
    /// after a restore, whether this entry or the peer that told them kept them.
    pub fn replace_confirmed(&mut self, listing: Listing) {
        if self.is_outdated(&listing) {
            return;
        }
        let known = std::mem::take(&mut self.objects);
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        let told = std::mem::take(&mut self.told_after_restore);
        self.replace(listing);
        self.keep_missing(known, |name| {
            let until = unconfirmed.get(name).or_else(|| told.get(name));
            until.copied()
        });
    }

    /// Adds the objects of `known` that are missing now and have a time until which they are kept.
    fn keep_missing(
        &mut self,
        known: BTreeMap<Name, Arc<Value>>,
        keep_until: impl Fn(&Name) -> Option<Timestamp>,
    ) {
        for (name, spec) in known {
            if let Some(until) = keep_until(&name)
                && !self.objects.contains_key(&name)
            {
                self.unconfirmed.insert(name.clone(), until);
                self.objects.insert(name, spec);
            }
        }
    }

    /// Adopts the first listing of a restored store, but keeps the objects whose `version` is newer
    /// than the listed one or which are not listed: their writer only ever raises it.
    pub fn merge_versioned(&mut self, listing: Listing, version: impl Fn(&Value) -> Option<u64>) {
        let known = std::mem::take(&mut self.objects);
        self.replace(listing);
        for (name, spec) in known {
            let listed = self.objects.get(&name).and_then(|spec| version(spec));
            if version(&spec) > listed {
                self.objects.insert(name, spec);
            }
        }
    }

    /// Removes the objects that were not written again in time after a restore; returns whether
    /// there were any.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let before = self.objects.len();
        let Self {
            objects,
            unconfirmed,
            ..
        } = self;
        unconfirmed.retain(|name, until| {
            let keep = now < *until;
            if !keep {
                objects.remove(name);
            }
            keep
        });
        objects.len() < before
    }

    /// Applies a watch event; returns whether an object changed.
    pub fn apply(&mut self, event: WatchEvent) -> bool {
        match event {
            WatchEvent::Put(object) => {
                self.record_change(&object);
                self.put(object)
            }
            WatchEvent::Deleted(object) => {
                self.record_change(&object);
                self.confirm(&object.name);
                self.objects.remove(&object.name).is_some()
            }
            WatchEvent::Bookmark(version) => {
                if !self.is_incomplete {
                    self.revision = self.revision.max(revision_of(&version));
                }
                false
            }
            WatchEvent::Unreadable(_) => false,
        }
    }

    fn record_change(&mut self, object: &Object) {
        if self.is_incomplete {
            return;
        }
        let revision = revision_of(&object.version);
        self.revision = self.revision.max(revision);
        self.last_change = self.last_change.max(revision);
    }

    /// Records that the store itself has reported an object.
    fn confirm(&mut self, name: &Name) {
        self.unconfirmed.remove(name);
        self.told_after_restore.remove(name);
    }

    fn put(&mut self, object: Object) -> bool {
        let spec = Arc::new(object.spec);
        self.confirm(&object.name);
        let old = self.objects.insert(object.name, spec.clone());
        old != Some(spec)
    }

    /// Replaces all objects with a peer's if its revision is newer; returns whether they were
    /// replaced. A `spec` that cannot be decoded is null. With `keep_until`, objects that a peer lacks whose store was
    /// restored are kept until then, or until the time that they were already given.
    pub fn replace_from_peer(
        &mut self,
        revision: u64,
        objects: Vec<PeerObject>,
        keep_until: Option<Timestamp>,
    ) -> bool {
        if revision <= self.revision {
            return false;
        }
        let era = |bits| StoreRevision::from_bits(bits).era();
        // An entry that has just started cannot tell whether the store was restored.
        let may_be_restored = era(revision) > era(self.revision);
        let restored = self.revision > 0 && may_be_restored;
        let read = |o: PeerObject| {
            let spec = serde_json::from_str(&o.spec).unwrap_or_else(|err| {
                let (name, error) = (&o.name, err.to_string());
                log::warn!("event=peer_object_unreadable name={name:?} error={error:?}");
                Value::Null
            });
            (o.name, Arc::new(spec))
        };
        let objects = objects.into_iter().map(read).collect();
        let known = std::mem::replace(&mut self.objects, objects);
        if revision < self.incomplete_at {
            // What was listed since is newer.
            self.objects.extend(known);
            self.revision = revision;
            return true;
        }
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        self.is_incomplete = false;
        self.revision = revision;
        // The peer does not say when the newest change was.
        self.last_change = self.last_change.max(revision);
        if let Some(until) = keep_until {
            if may_be_restored {
                let told = self.objects.keys().cloned();
                self.told_after_restore = told.map(|name| (name, until)).collect();
            }
            let newly = restored.then_some(until);
            self.keep_missing(known, |name| unconfirmed.get(name).copied().or(newly));
        }
        true
    }

    /// Encodes the objects for a peer.
    #[must_use]
    pub fn to_peer_objects(&self) -> Vec<PeerObject> {
        let objects = self.objects.iter();
        objects
            .map(|(name, spec)| PeerObject {
                name: name.clone(),
                spec: spec.to_string(),
            })
            .collect()
    }
}

/// Reads an opaque store version as a number, so that entries can compare their revisions.
fn revision_of(version: &Version) -> u64 {
    StoreRevision::of(version).to_bits()
}
