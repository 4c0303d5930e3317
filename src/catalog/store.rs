//! Reads and writes the catalog's objects in the platform.

use std::fmt;

use crate::catalog::{Catalog, CatalogHead, NoteRecord, SnapshotRef};
use crate::platform::{Object, Platform, PlatformError, Version};
use crate::prelude::*;

/// Access to the head, snapshots and accepted notes in the platform.
#[derive(Clone)]
pub struct CatalogStore(Arc<dyn Platform>);

impl fmt::Debug for CatalogStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CatalogStore(..)")
    }
}

impl CatalogStore {
    /// Creates the access to the catalog's objects in `platform`.
    #[must_use]
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        Self(platform)
    }

    /// Reads the head; `None` when no head was written yet.
    ///
    /// # Errors
    /// Those of the platform, or [`PlatformError::Rejected`] when the head cannot be decoded.
    pub async fn read_head(&self) -> Result<Option<(CatalogHead, Version)>, PlatformError> {
        let object = self.0.get(CatalogHead::KIND, CatalogHead::NAME).await?;
        let Some(object) = object else {
            return Ok(None);
        };
        let head = object
            .decode()
            .map_err(|err| unreadable(&object.name, &err))?;
        Ok(Some((head, object.version)))
    }

    /// Reads the head; when there is none, creates the head of the empty catalog.
    ///
    /// # Errors
    /// Those of [`CatalogStore::read_head`].
    pub async fn read_or_create_head(&self) -> Result<(CatalogHead, Version), PlatformError> {
        if let Some(read) = self.read_head().await? {
            return Ok(read);
        }
        let head = CatalogHead::default();
        match self.0.create(head_object(&head, Version::default())).await {
            Ok(object) => Ok((head, object.version)),
            Err(PlatformError::Conflict) => {
                let read = self.read_head().await?;
                read.ok_or(PlatformError::NotFound)
            }
            Err(err) => Err(err),
        }
    }

    /// Replaces the head if its version is still `version`.
    ///
    /// # Errors
    /// Those of the platform.
    pub async fn update_head(
        &self,
        head: &CatalogHead,
        version: Version,
    ) -> Result<(), PlatformError> {
        self.0.update(head_object(head, version)).await.map(drop)
    }

    /// Reads the catalog at the revision of `head`.
    ///
    /// # Errors
    /// Those of the platform, or [`PlatformError::Rejected`] when the head's notes do not continue
    /// its snapshot.
    pub async fn read_catalog(&self, head: &CatalogHead) -> Result<Arc<Catalog>, PlatformError> {
        let snapshot = Arc::new(self.read_snapshot(&head.snapshot).await?);
        let catalog = head.advance(&snapshot);
        catalog.ok_or_else(|| {
            PlatformError::Rejected("the head's notes do not continue its snapshot".into())
        })
    }

    /// Reads a snapshot; revision zero is the empty catalog.
    ///
    /// # Errors
    /// Those of the platform, [`PlatformError::NotFound`] when a part is missing, or
    /// [`PlatformError::Rejected`] when the parts are not a catalog of that revision.
    pub async fn read_snapshot(&self, at: &SnapshotRef) -> Result<Catalog, PlatformError> {
        if at.revision == 0 {
            return Ok(Catalog::default());
        }
        let mut text = String::new();
        for n in 0..at.parts {
            let name = part_name(&at.id, n);
            let part = self.0.get(CatalogHead::KIND, &name).await?;
            let part = part.ok_or(PlatformError::NotFound)?;
            let part = part.spec.as_str().map(str::to_owned);
            text.push_str(&part.ok_or(PlatformError::NotFound)?);
        }
        let catalog: Catalog =
            serde_json::from_str(&text).map_err(|err| unreadable(&at.id, &err))?;
        if catalog.revision == at.revision {
            Ok(catalog)
        } else {
            Err(PlatformError::Rejected(
                "the snapshot holds another revision".into(),
            ))
        }
    }

    /// Writes a snapshot under the identity `id`.
    ///
    /// # Errors
    /// Those of the platform.
    pub async fn write_snapshot(
        &self,
        catalog: &Catalog,
        id: &str,
    ) -> Result<SnapshotRef, PlatformError> {
        let text = serde_json::to_string(catalog).map_err(|err| unreadable(id, &err))?;
        let mut parts = 0;
        for part in split_text(&text, CatalogHead::MAX_PART_BYTES) {
            let object = Object::new(CatalogHead::KIND, part_name(id, parts), part.into());
            match self.0.create(object).await {
                Ok(_) | Err(PlatformError::Conflict) => parts += 1,
                Err(err) => return Err(err),
            }
        }
        Ok(SnapshotRef {
            revision: catalog.revision,
            id: id.into(),
            parts,
        })
    }

    /// Deletes the parts of a snapshot that no head refers to any more.
    ///
    /// # Errors
    /// Those of the platform.
    pub async fn delete_snapshot(&self, at: &SnapshotRef) -> Result<(), PlatformError> {
        for n in 0..at.parts {
            let name = part_name(&at.id, n);
            let Some(part) = self.0.get(CatalogHead::KIND, &name).await? else {
                continue;
            };
            match self.0.delete(CatalogHead::KIND, &name, part.version).await {
                Ok(()) | Err(PlatformError::NotFound | PlatformError::Conflict) => {}
                Err(err) => return Err(err),
            }
        }
        Ok(())
    }

    /// Stores an accepted note for [`CatalogStore::read_note`].
    ///
    /// # Errors
    /// Those of the platform; a note that is already stored is no error.
    pub async fn write_note(&self, record: &NoteRecord) -> Result<(), PlatformError> {
        let spec = serde_json::to_value(record).map_err(|err| unreadable(&record.note.id, &err))?;
        let object = Object::new(NOTES_KIND, note_name(record.note.revision()), spec);
        match self.0.create(object).await {
            Ok(_) | Err(PlatformError::Conflict) => Ok(()),
            Err(err) => Err(err),
        }
    }

    /// Reads the note that created `revision`; `None` when it is not stored.
    ///
    /// # Errors
    /// Those of the platform, or [`PlatformError::Rejected`] when the note cannot be decoded.
    pub async fn read_note(&self, revision: u64) -> Result<Option<NoteRecord>, PlatformError> {
        let object = self.0.get(NOTES_KIND, &note_name(revision)).await?;
        let Some(object) = object else {
            return Ok(None);
        };
        let note = object
            .decode()
            .map_err(|err| unreadable(&object.name, &err))?;
        Ok(Some(note))
    }
}

/// Kind of the accepted notes in the platform.
const NOTES_KIND: &str = "notes";

fn note_name(revision: u64) -> String {
    format!("revision-{revision}")
}

fn part_name(id: &str, n: u32) -> String {
    format!("snapshot-{id}-{n}")
}

fn head_object(head: &CatalogHead, version: Version) -> Object {
    let spec = serde_json::to_value(head).unwrap_or_default();
    let mut object = Object::new(CatalogHead::KIND, CatalogHead::NAME, spec);
    object.version = version;
    object
}

fn unreadable(name: &str, err: &serde_json::Error) -> PlatformError {
    PlatformError::Rejected(format!("{name} cannot be read: {err}"))
}

/// Splits a text into parts of at most `limit` bytes at character boundaries.
fn split_text(text: &str, limit: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let end = rest.floor_char_boundary(limit);
        let (part, tail) = rest.split_at(end);
        parts.push(part);
        rest = tail;
    }
    parts
}
