//! Cache of the platform store's objects of one kind.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::platform::{Listing, Object, Version, WatchEvent};
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
    objects: BTreeMap<Name, Arc<Value>>,
}

impl ObjectCache {
    /// Store revision up to which the cache is complete; zero before the first listing.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The objects, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Arc<Value>)> {
        self.objects.iter()
    }

    /// Replaces all objects with a full listing.
    pub fn replace(&mut self, listing: Listing) {
        self.revision = self.revision.max(revision_of(&listing.version));
        let items = listing.items.into_iter();
        self.objects = items.map(|o| (o.name, Arc::new(o.spec))).collect();
    }

    /// Applies a watch event; returns whether an object changed.
    pub fn apply(&mut self, event: WatchEvent) -> bool {
        match event {
            WatchEvent::Put(object) => {
                self.revision = self.revision.max(revision_of(&object.version));
                self.put(object)
            }
            WatchEvent::Deleted(object) => self.objects.remove(&object.name).is_some(),
            WatchEvent::Bookmark(version) => {
                self.revision = self.revision.max(revision_of(&version));
                false
            }
        }
    }

    fn put(&mut self, object: Object) -> bool {
        let spec = Arc::new(object.spec);
        let old = self.objects.insert(object.name, spec.clone());
        old != Some(spec)
    }

    /// Replaces all objects with a peer's if its revision is newer and all can be decoded; returns
    /// whether they were replaced.
    pub fn replace_from_peer(&mut self, revision: u64, objects: Vec<PeerObject>) -> bool {
        if revision <= self.revision {
            return false;
        }
        let read = |o: PeerObject| {
            let spec = serde_json::from_str(&o.spec);
            spec.map(|spec: Value| (o.name, Arc::new(spec)))
        };
        match objects.into_iter().map(read).collect::<Result<_, _>>() {
            Ok(objects) => {
                self.objects = objects;
                self.revision = revision;
                true
            }
            Err(err) => {
                log::warn!("event=peer_objects_unreadable error={:?}", err.to_string());
                false
            }
        }
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

/// Parses an opaque store version as a number, so that entries can compare their revisions.
fn revision_of(version: &Version) -> u64 {
    version.0.parse().unwrap_or_default()
}
