//! Versioned objects and the history of their changes.

use std::collections::{BTreeMap, VecDeque};

use http_types::StatusCode;
use serde_json::{Value, json};

/// Reason for refusing a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiError {
    /// The version is not the current one, or the name is taken.
    Conflict,
    /// No such object.
    NotFound,
    /// The call is malformed.
    BadRequest,
}

impl ApiError {
    /// HTTP status of the response.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Conflict => StatusCode::Conflict,
            Self::NotFound => StatusCode::NotFound,
            Self::BadRequest => StatusCode::BadRequest,
        }
    }
}

/// One change of an object.
#[derive(Clone, Debug)]
pub struct Change {
    /// Version of the object store after the change.
    pub version: u64,
    /// `ADDED`, `MODIFIED` or `DELETED`.
    pub event_type: &'static str,
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// The object after the change, or before its deletion.
    pub object: Value,
}

impl Change {
    /// The change as one line of a watch response.
    #[must_use]
    pub fn watch_line(&self) -> Vec<u8> {
        let mut line = json!({"type": self.event_type, "object": self.object}).to_string();
        line.push('\n');
        line.into_bytes()
    }
}

#[derive(Clone, Debug)]
struct StoredObject {
    version: u64,
    spec: Value,
}

/// All objects of a platform, by kind and name.
#[derive(Debug)]
pub struct ObjectStore {
    version: u64,
    kinds: BTreeMap<String, BTreeMap<String, StoredObject>>,
    history: VecDeque<Change>,
    history_limit: usize,
    /// Version of the newest change that was dropped from the history.
    last_dropped: u64,
}

impl ObjectStore {
    /// Creates an empty store that keeps the last `history_limit` changes.
    #[must_use]
    pub fn new(history_limit: usize) -> Self {
        Self {
            version: 0,
            kinds: BTreeMap::new(),
            history: VecDeque::new(),
            history_limit,
            last_dropped: 0,
        }
    }

    /// Reads an object.
    ///
    /// # Errors
    /// [`ApiError::NotFound`].
    pub fn get(&self, kind: &str, name: &str) -> Result<Value, ApiError> {
        let stored = self.kinds.get(kind).and_then(|k| k.get(name));
        stored.map(|s| render(name, s)).ok_or(ApiError::NotFound)
    }

    /// Lists the objects of a kind, with the version to start a watch from.
    #[must_use]
    pub fn list(&self, kind: &str) -> Value {
        let objects = self.kinds.get(kind).into_iter().flatten();
        let items: Vec<Value> = objects.map(|(name, s)| render(name, s)).collect();
        json!({"metadata": {"resourceVersion": self.version.to_string()}, "items": items})
    }

    /// Creates an object.
    ///
    /// # Errors
    /// [`ApiError::Conflict`] when the name is taken, [`ApiError::BadRequest`] without a name.
    pub fn create(&mut self, kind: &str, body: &Value) -> Result<Change, ApiError> {
        let name = body["metadata"]["name"].as_str();
        let name = name.ok_or(ApiError::BadRequest)?;
        if self.stored(kind, name).is_some() {
            return Err(ApiError::Conflict);
        }
        Ok(self.put("ADDED", kind, name, body["spec"].clone()))
    }

    /// Replaces an object if its current version is the given one.
    ///
    /// # Errors
    /// [`ApiError::NotFound`] or [`ApiError::Conflict`].
    pub fn update(&mut self, kind: &str, name: &str, body: &Value) -> Result<Change, ApiError> {
        let version = body["metadata"]["resourceVersion"].as_str();
        self.check_version(kind, name, version)?;
        Ok(self.put("MODIFIED", kind, name, body["spec"].clone()))
    }

    /// Deletes an object if its current version is `version`.
    ///
    /// # Errors
    /// [`ApiError::NotFound`] or [`ApiError::Conflict`].
    pub fn delete(
        &mut self,
        kind: &str,
        name: &str,
        version: Option<&str>,
    ) -> Result<Change, ApiError> {
        self.check_version(kind, name, version)?;
        let old = self.kinds.get_mut(kind).and_then(|k| k.remove(name));
        let mut old = old.ok_or(ApiError::NotFound)?;
        self.version += 1;
        old.version = self.version;
        Ok(self.record_change("DELETED", kind, name, &old))
    }

    /// Changes of a kind after version `from`; `None` if some were dropped from the history.
    #[must_use]
    pub fn changes_since(&self, kind: &str, from: u64) -> Option<Vec<Change>> {
        if from < self.last_dropped {
            return None;
        }
        let newer = self.history.iter().filter(|c| c.version > from);
        Some(newer.filter(|c| c.kind == kind).cloned().collect())
    }

    /// Watch line that carries the current version and no change.
    #[must_use]
    pub fn bookmark_line(&self) -> Vec<u8> {
        let version = self.version.to_string();
        let object = json!({"metadata": {"resourceVersion": version}});
        let mut line = json!({"type": "BOOKMARK", "object": object}).to_string();
        line.push('\n');
        line.into_bytes()
    }

    fn stored(&self, kind: &str, name: &str) -> Option<&StoredObject> {
        self.kinds.get(kind).and_then(|k| k.get(name))
    }

    fn check_version(&self, kind: &str, name: &str, version: Option<&str>) -> Result<(), ApiError> {
        let stored = self.stored(kind, name).ok_or(ApiError::NotFound)?;
        let version = version.ok_or(ApiError::BadRequest)?;
        if version == stored.version.to_string() {
            Ok(())
        } else {
            Err(ApiError::Conflict)
        }
    }

    fn put(&mut self, event_type: &'static str, kind: &str, name: &str, spec: Value) -> Change {
        self.version += 1;
        let stored = StoredObject {
            version: self.version,
            spec,
        };
        let change = self.record_change(event_type, kind, name, &stored);
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.insert(name.to_owned(), stored);
        change
    }

    fn record_change(
        &mut self,
        event_type: &'static str,
        kind: &str,
        name: &str,
        stored: &StoredObject,
    ) -> Change {
        let change = Change {
            version: stored.version,
            event_type,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object: render(name, stored),
        };
        self.history.push_back(change.clone());
        while self.history.len() > self.history_limit {
            let old = self.history.pop_front();
            self.last_dropped = old.map_or(self.last_dropped, |c| c.version);
        }
        change
    }
}

fn render(name: &str, stored: &StoredObject) -> Value {
    json!({
        "metadata": {"name": name, "resourceVersion": stored.version.to_string()},
        "spec": stored.spec,
    })
}
