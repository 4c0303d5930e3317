//! Objects as the platform keeps them.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::prelude::*;

/// Opaque version of an object or a list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version(pub String);

/// One object.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Plural kind, such as `catalogs`.
    pub kind: Name,
    /// Name within the kind.
    pub name: Name,
    /// Version that a conditional update names.
    pub version: Version,
    /// The object's `spec`.
    pub spec: Value,
}

impl Object {
    /// Makes an object that does not exist yet.
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
    /// When the `spec` has another shape.
    pub fn decode<T: serde::de::DeserializeOwned>(&self) -> serde_json::Result<T> {
        T::deserialize(&self.spec)
    }

    /// Reads an object from its Kubernetes-style JSON.
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

/// All objects of a kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The objects.
    pub items: Vec<Object>,
    /// Version to watch from.
    pub version: Version,
}

/// A change seen by a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The object was created or replaced.
    Put(Object),
    /// The object was deleted; the last state is given.
    Deleted(Object),
    /// Nothing changed up to this version.
    Bookmark(Version),
}
