//! Objects stored by the platform.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::platform::{ListingStop, UnreadableObjects};
use crate::prelude::*;

/// Opaque version of an object or a listing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version(pub String);

/// One stored object.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Plural kind, such as `catalogs`.
    pub kind: Name,
    /// Name within the kind.
    pub name: Name,
    /// Current version, required by conditional updates; empty before creation.
    pub version: Version,
    /// Contents of the object (`spec`).
    pub spec: Value,
}

impl Object {
    /// Makes an object to be created.
    pub fn new(kind: impl Into<Name>, name: impl Into<Name>, spec: Value) -> Self {
        Self {
            kind: kind.into(),
            name: name.into(),
            version: Version::default(),
            spec,
        }
    }

    /// Decodes the `spec`.
    ///
    /// # Errors
    /// When the `spec` does not have the shape of `T`.
    pub fn decode<T: serde::de::DeserializeOwned>(&self) -> serde_json::Result<T> {
        T::deserialize(&self.spec)
    }

    /// Reads an object from Kubernetes-style JSON; `None` without a name or version.
    #[must_use]
    pub fn from_json(kind: &str, json: &Value) -> Option<Self> {
        let meta = json.get("metadata")?;
        Some(Self {
            kind: kind.into(),
            name: meta.get("name")?.as_str()?.into(),
            version: Version(meta.get("resourceVersion")?.as_str()?.to_owned()),
            spec: json.get("spec").cloned().unwrap_or(Value::Null),
        })
    }

    /// Renders the object as Kubernetes-style JSON.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let mut meta = serde_json::json!({ "name": &*self.name });
        if !self.version.0.is_empty() {
            meta["resourceVersion"] = self.version.0.clone().into();
        }
        serde_json::json!({ "metadata": meta, "spec": self.spec })
    }
}

/// All objects of a kind at one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The objects, those whose `spec` cannot be read with null instead.
    pub items: Vec<Object>,
    /// Version to watch from.
    pub version: Version,
    /// What cannot be read.
    pub unreadable: UnreadableObjects,
    /// Number of pages that were read for it; zero if the platform has none.
    pub pages: u32,
    /// Why the listing ended before the last object; `None` if it is complete.
    pub stop: Option<ListingStop>,
}

/// Event of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The object was created or replaced.
    Put(Object),
    /// The object was deleted; this is its last state.
    Deleted(Object),
    /// Some changes cannot be read. Objects that have a name are put with a `spec` of null.
    Unreadable(UnreadableObjects),
    /// All changes up to this version have been sent.
    Bookmark(Version),
}
