//! `guavahold apply`: puts a note in force.

use std::time::Instant;

use async_io::Timer;

use crate::catalog::{Catalog, CatalogHead, CatalogStore, Contradictions, NoteRecord, ReleaseNote};
use crate::operator::history::row;
use crate::operator::in_force::{listed_entries, rows};
use crate::operator::{
    ApplyReport, CheckReport, Entries, EntryRow, OperatorError, planned_changes,
};
use crate::platform::{Platform, PlatformError, Version};
use crate::prelude::*;
use crate::settings::Document;

/// Pause before the platform is asked again.
const PAUSE: Duration = Duration::from_millis(200);

/// Identity and time given to a note when it is applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamped {
    /// Identity, unique for each application.
    pub id: Name,
    /// Time in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Applies notes to the platform's catalog.
pub struct Applier {
    platform: Arc<dyn Platform>,
    store: CatalogStore,
    patience: Duration,
}

/// How a conditional write ended.
enum Written {
    Accepted,
    Lost,
    Failed(PlatformError),
    Unknown(PlatformError),
}

impl Applier {
    /// Makes an applier that resolves lost answers for `patience` at most.
    #[must_use]
    pub fn new(platform: Arc<dyn Platform>, patience: Duration) -> Self {
        Self {
            store: CatalogStore::new(platform.clone()),
            platform,
            patience,
        }
    }

    /// Applies the note in `doc`.
    ///
    /// # Errors
    /// When the platform fails before anything was written.
    pub async fn apply(
        &self,
        file: &str,
        doc: &Document,
        stamped: &Stamped,
    ) -> Result<ApplyReport, OperatorError> {
        let note = match ReleaseNote::read(doc) {
            Ok(note) => note,
            Err(findings) => return Ok(ApplyReport::Findings(CheckReport::of(file, findings))),
        };
        let (head, version) = self.store.read_or_create_head().await?;
        if note.against < head.revision {
            return self.lost_race(&head, note).await;
        }
        let catalog = self.store.read_catalog(&head).await?;
        let (mut note, next) = match ReleaseNote::read_against(doc, &catalog) {
            Ok(read) => read,
            Err(findings) => return Ok(ApplyReport::Findings(CheckReport::of(file, findings))),
        };
        note.id = stamped.id.clone();
        note.at_ms = stamped.at_ms;
        let next_head = self.next_head(&head, &note, &next).await?;
        match self.write_head(&next_head, version, &note).await {
            Written::Accepted => {}
            Written::Lost => {
                self.drop_snapshot(&head, &next_head).await;
                let (head, _) = self.store.read_or_create_head().await?;
                return self.lost_race(&head, note).await;
            }
            Written::Failed(err) => return Err(err.into()),
            Written::Unknown(err) => {
                return Ok(ApplyReport::Unknown {
                    note: note.id,
                    detail: err.to_string(),
                });
            }
        }
        self.after(&head, &next_head, &catalog, &next, &note).await;
        Ok(ApplyReport::Accepted {
            revision: next.revision,
            changes: planned_changes(&catalog, &next),
            note: note.id,
            entries: Vec::new(),
            in_force: None,
        })
    }

    /// The head with one more note, and with a new snapshot when its tail is full.
    async fn next_head(
        &self,
        head: &CatalogHead,
        note: &ReleaseNote,
        next: &Catalog,
    ) -> Result<CatalogHead, OperatorError> {
        let mut next_head = head.clone();
        next_head.revision = next.revision;
        next_head.tail.push(note.clone());
        let after_snapshot = next.revision - head.snapshot.revision;
        if usize::try_from(after_snapshot).unwrap_or(usize::MAX)
            > CatalogHead::MAX_NOTES_SINCE_SNAPSHOT
        {
            self.keep_tail(head).await?;
            next_head.snapshot = self.store.write_snapshot(next, &note.id).await?;
            next_head.previous_snapshot = head.snapshot.clone();
            let surplus = next_head
                .tail
                .len()
                .saturating_sub(CatalogHead::TAIL_AFTER_SNAPSHOT);
            next_head.tail.drain(..surplus);
        }
        Ok(next_head)
    }

    /// Keeps every note since the snapshot, in case one who applied them failed to.
    async fn keep_tail(&self, head: &CatalogHead) -> Result<(), OperatorError> {
        let mut before = Arc::new(self.store.read_snapshot(&head.snapshot).await?);
        for note in &head.tail {
            if note.against != before.revision {
                continue;
            }
            let Ok(after) = before.apply(note) else {
                break;
            };
            self.store.write_note(&kept(&before, &after, note)).await?;
            before = Arc::new(after);
        }
        Ok(())
    }

    /// Writes the head; a lost answer is resolved by reading back, and by writing again while the
    /// head is still the old one.
    async fn write_head(
        &self,
        head: &CatalogHead,
        version: Version,
        note: &ReleaseNote,
    ) -> Written {
        let started = Instant::now();
        let mut doubtful = false;
        loop {
            let failure = match self.store.update_head(head, version.clone()).await {
                Ok(()) => return Written::Accepted,
                Err(PlatformError::Conflict | PlatformError::NotFound) => {
                    match self.is_accepted(note).await {
                        Ok(true) => return Written::Accepted,
                        Ok(false) => return Written::Lost,
                        Err(err) => err,
                    }
                }
                Err(err @ PlatformError::Rejected(_)) if !doubtful => return Written::Failed(err),
                Err(err) => {
                    doubtful |= err.may_have_written();
                    err
                }
            };
            if started.elapsed() >= self.patience && doubtful {
                return Written::Unknown(failure);
            }
            if started.elapsed() >= self.patience {
                return Written::Failed(failure);
            }
            Timer::after(PAUSE).await;
        }
    }

    /// Tells whether the note made its revision, from the head's tail or the notes kept.
    async fn is_accepted(&self, note: &ReleaseNote) -> Result<bool, PlatformError> {
        let Some((head, _)) = self.store.read_head().await? else {
            return Ok(false);
        };
        let made = head.tail.iter().find(|n| n.revision() == note.revision());
        if let Some(made) = made {
            return Ok(made.id == note.id);
        }
        let kept = self.store.read_note(note.revision()).await?;
        Ok(kept.is_some_and(|kept| kept.note.id == note.id))
    }

    /// Keeps the note and collects the snapshot that is two generations old; both are made up for
    /// later if they fail now.
    async fn after(
        &self,
        head: &CatalogHead,
        next_head: &CatalogHead,
        before: &Catalog,
        after: &Catalog,
        note: &ReleaseNote,
    ) {
        let kept = self.store.write_note(&kept(before, after, note)).await;
        if let Err(err) = kept {
            log::warn!("event=note_not_kept error={:?}", err.to_string());
        }
        if next_head.snapshot != head.snapshot {
            let _ = self.store.delete_snapshot(&head.previous_snapshot).await;
        }
    }

    async fn drop_snapshot(&self, head: &CatalogHead, next_head: &CatalogHead) {
        if next_head.snapshot != head.snapshot {
            let _ = self.store.delete_snapshot(&next_head.snapshot).await;
        }
    }

    async fn lost_race(
        &self,
        head: &CatalogHead,
        note: ReleaseNote,
    ) -> Result<ApplyReport, OperatorError> {
        let catalog = self.store.read_catalog(head).await?;
        let mut others = Vec::new();
        for revision in note.revision()..=head.revision {
            let in_tail = head.tail.iter().find(|n| n.revision() == revision);
            match in_tail {
                Some(note) => others.push(note.clone()),
                None => others.extend(self.store.read_note(revision).await?.map(|k| k.note)),
            }
        }
        let mut conflicts = overlaps(&note, &others);
        let rebased = ReleaseNote {
            against: catalog.revision,
            ..note
        };
        let merged = match catalog.apply(&rebased) {
            Ok(next) => planned_changes(&catalog, &next),
            Err(Contradictions(all)) => {
                conflicts.extend(all.iter().map(ToString::to_string));
                Vec::new()
            }
        };
        Ok(ApplyReport::LostRace {
            revision: head.revision,
            others: others.iter().map(row).collect(),
            merged,
            conflicts,
        })
    }

    /// Waits until every entry reports `revision` in force, at most for `limit`.
    pub async fn wait(
        &self,
        revision: u64,
        entries: &Entries,
        limit: Duration,
    ) -> (Vec<EntryRow>, bool) {
        let started = Instant::now();
        loop {
            let listed = listed_entries(&self.platform).await;
            let reported = entries.in_force().await;
            let rows = rows(&reported, listed.as_deref().unwrap_or_default());
            let newest = rows
                .iter()
                .all(|r| r.revision.is_some_and(|r| r >= revision));
            let done = newest && listed.is_ok() && !reported.is_empty();
            if done || started.elapsed() >= limit {
                return (rows, done);
            }
            Timer::after(PAUSE).await;
        }
    }
}

fn kept(before: &Catalog, after: &Catalog, note: &ReleaseNote) -> NoteRecord {
    NoteRecord {
        note: note.clone(),
        undo: Some(before.difference(after)),
    }
}

/// Declarations that both the note and one of the others touch.
fn overlaps(note: &ReleaseNote, others: &[ReleaseNote]) -> Vec<String> {
    let own = touched(note);
    let mut out = Vec::new();
    for other in others {
        for change in touched(other).iter().filter(|c| own.contains(c)) {
            out.push(format!(
                "{}.{}: also in the note of revision {} by {}",
                change.kind,
                change.name,
                other.revision(),
                other.by
            ));
        }
    }
    out
}

fn touched(note: &ReleaseNote) -> Vec<crate::catalog::DeclarationId> {
    let mut all = note.added.ids();
    all.extend(note.changed.ids());
    all.extend(note.withdrawn.iter().cloned());
    all
}
