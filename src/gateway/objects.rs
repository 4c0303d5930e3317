//! Objects of one kind as last seen in the store or told by a peer.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::platform::{Listing, Object, Version, WatchEvent};
use crate::prelude::*;

/// An object as entries tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerObject {
    /// Name within its kind.
    pub name: Name,
    /// Its `spec` as JSON text.
    pub spec: String,
}

/// Objects of one kind with the store's revision at which they were whole.
#[derive(Clone, Debug, Default)]
pub struct ObjectBook {
    revision: u64,
    objects: BTreeMap<Name, Arc<Value>>,
}

impl ObjectBook {
    /// Revision of the store up to which this is known to be whole; zero before the first list.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The objects by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Arc<Value>)> {
        self.objects.iter()
    }

    /// Takes a whole list.
    pub fn replace(&mut self, listing: Listing) {
        self.revision = self.revision.max(revision_of(&listing.version));
        let items = listing.items.into_iter();
        self.objects = items.map(|o| (o.name, Arc::new(o.spec))).collect();
    }

    /// Takes a change; `false` when it says nothing new.
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

    /// Takes what a peer knows, if that is newer; tells whether it was.
    pub fn adopt(&mut self, revision: u64, objects: Vec<PeerObject>) -> bool {
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

    /// What a peer is told.
    #[must_use]
    pub fn tell(&self) -> Vec<PeerObject> {
        let objects = self.objects.iter();
        objects
            .map(|(name, spec)| PeerObject {
                name: name.clone(),
                spec: spec.to_string(),
            })
            .collect()
    }
}

/// The number in an opaque version, by which entries compare what they know.
fn revision_of(version: &Version) -> u64 {
    version.0.parse().unwrap_or_default()
}
