//! Versioned objects and their history.

use std::collections::{BTreeMap, VecDeque};

use http_types::StatusCode;
use serde_json::{Value, json};

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiError {
    /// The version does not fit or the name is taken.
    Conflict,
    /// No such object.
    NotFound,
    /// The call is malformed.
    BadRequest,
}

impl ApiError {
    /// Status of the answer.
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
    /// Version that the change made.
    pub version: u64,
    /// `ADDED`, `MODIFIED` or `DELETED`.
    pub what: &'static str,
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// The object after the change, or before its deletion.
    pub object: Value,
}

impl Change {
    /// Line of a watch.
    #[must_use]
    pub fn line(&self) -> Vec<u8> {
        let mut line = json!({"type": self.what, "object": self.object}).to_string();
        line.push('\n');
        line.into_bytes()
    }
}

#[derive(Clone, Debug)]
struct Stored {
    version: u64,
    spec: Value,
}

/// All objects of a platform.
#[derive(Debug)]
pub struct Objects {
    version: u64,
    kinds: BTreeMap<String, BTreeMap<String, Stored>>,
    history: VecDeque<Change>,
    limit: usize,
    /// Version of the newest change that fell out of the history.
    forgotten: u64,
}

impl Objects {
    /// Makes an empty set that remembers `limit` changes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            version: 0,
            kinds: BTreeMap::new(),
            history: VecDeque::new(),
            limit,
            forgotten: 0,
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

    /// Lists a kind with the version to watch from.
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

    /// Replaces an object whose version fits.
    ///
    /// # Errors
    /// [`ApiError::NotFound`] or [`ApiError::Conflict`].
    pub fn update(&mut self, kind: &str, name: &str, body: &Value) -> Result<Change, ApiError> {
        let version = body["metadata"]["resourceVersion"].as_str();
        self.check(kind, name, version)?;
        Ok(self.put("MODIFIED", kind, name, body["spec"].clone()))
    }

    /// Deletes an object whose version fits.
    ///
    /// # Errors
    /// [`ApiError::NotFound`] or [`ApiError::Conflict`].
    pub fn delete(
        &mut self,
        kind: &str,
        name: &str,
        version: Option<&str>,
    ) -> Result<Change, ApiError> {
        self.check(kind, name, version)?;
        let old = self.kinds.get_mut(kind).and_then(|k| k.remove(name));
        let mut old = old.ok_or(ApiError::NotFound)?;
        self.version += 1;
        old.version = self.version;
        Ok(self.remember("DELETED", kind, name, &old))
    }

    /// Changes of a kind after version `from`; `None` when they are no longer known.
    #[must_use]
    pub fn since(&self, kind: &str, from: u64) -> Option<Vec<Change>> {
        if from < self.forgotten {
            return None;
        }
        let newer = self.history.iter().filter(|c| c.version > from);
        Some(newer.filter(|c| c.kind == kind).cloned().collect())
    }

    /// Line that tells a watch how far it has come.
    #[must_use]
    pub fn bookmark(&self) -> Vec<u8> {
        let version = self.version.to_string();
        let object = json!({"metadata": {"resourceVersion": version}});
        let mut line = json!({"type": "BOOKMARK", "object": object}).to_string();
        line.push('\n');
        line.into_bytes()
    }

    fn stored(&self, kind: &str, name: &str) -> Option<&Stored> {
        self.kinds.get(kind).and_then(|k| k.get(name))
    }

    fn check(&self, kind: &str, name: &str, version: Option<&str>) -> Result<(), ApiError> {
        let stored = self.stored(kind, name).ok_or(ApiError::NotFound)?;
        let version = version.ok_or(ApiError::BadRequest)?;
        if version == stored.version.to_string() {
            Ok(())
        } else {
            Err(ApiError::Conflict)
        }
    }

    fn put(&mut self, what: &'static str, kind: &str, name: &str, spec: Value) -> Change {
        self.version += 1;
        let stored = Stored {
            version: self.version,
            spec,
        };
        let change = self.remember(what, kind, name, &stored);
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.insert(name.to_owned(), stored);
        change
    }

    fn remember(&mut self, what: &'static str, kind: &str, name: &str, stored: &Stored) -> Change {
        let change = Change {
            version: stored.version,
            what,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object: render(name, stored),
        };
        self.history.push_back(change.clone());
        while self.history.len() > self.limit {
            let old = self.history.pop_front();
            self.forgotten = old.map_or(self.forgotten, |c| c.version);
        }
        change
    }
}

fn render(name: &str, stored: &Stored) -> Value {
    json!({
        "metadata": {"name": name, "resourceVersion": stored.version.to_string()},
        "spec": stored.spec,
    })
}
