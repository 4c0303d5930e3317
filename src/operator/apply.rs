//! `guavahold apply`: adds a release note to the platform's catalog.

use std::time::Instant;

use async_io::Timer;

use crate::catalog::{
    Catalog, CatalogHead, CatalogStore, Contradictions, DeclarationId, NoteRecord, ReleaseNote,
};
use crate::operator::history::history_row;
use crate::operator::status::{entry_rows, listed_entries};
use crate::operator::{
    ApplyReport, CheckReport, EntryAdminClient, EntryRow, OperatorError, planned_changes,
};
use crate::platform::{Platform, PlatformError, Version};
use crate::prelude::*;
use crate::settings::Document;

/// Interval between two attempts of a write, and between two queries of the entries.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Id and time that a note gets when it is applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteMetadata {
    /// Id, which is unique for each application of a note.
    pub id: Name,
    /// Time of the application, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Applies release notes to the platform's catalog.
pub struct Applier {
    platform: Arc<dyn Platform>,
    store: CatalogStore,
    resolve_timeout: Duration,
}

/// Outcome of a conditional write of the catalog head.
enum WriteOutcome {
    /// The note was accepted.
    Accepted,
    /// Another note was accepted first.
    Conflict,
    /// Nothing was written.
    Failed(PlatformError),
    /// The write may have taken effect.
    Unknown(PlatformError),
}

impl Applier {
    /// Makes an applier that spends at most `resolve_timeout` on finding out whether a write whose
    /// response was lost took effect.
    #[must_use]
    pub fn new(platform: Arc<dyn Platform>, resolve_timeout: Duration) -> Self {
        Self {
            store: CatalogStore::new(platform.clone()),
            platform,
            resolve_timeout,
        }
    }

    /// Applies the note in `doc`.
    ///
    /// # Errors
    /// When the platform fails and nothing was written.
    pub async fn apply(
        &self,
        file: &str,
        doc: &Document,
        metadata: &NoteMetadata,
    ) -> Result<ApplyReport, OperatorError> {
        let note = match ReleaseNote::read(doc) {
            Ok(note) => note,
            Err(findings) => return Ok(ApplyReport::Findings(CheckReport::of(file, findings))),
        };
        let (head, version) = self.store.read_or_create_head().await?;
        if note.against < head.revision {
            return self.lost_race_report(&head, note).await;
        }
        let catalog = self.store.read_catalog(&head).await?;
        let (mut note, next) = match ReleaseNote::read_against(doc, &catalog) {
            Ok(read) => read,
            Err(findings) => return Ok(ApplyReport::Findings(CheckReport::of(file, findings))),
        };
        note.id = metadata.id.clone();
        note.at_ms = metadata.at_ms;
        let next_head = self.next_head(&head, &note, &next).await?;
        match self.write_head(&next_head, version, &note).await {
            WriteOutcome::Accepted => {}
            WriteOutcome::Conflict => {
                self.delete_new_snapshot(&head, &next_head).await;
                let (head, _) = self.store.read_or_create_head().await?;
                return self.lost_race_report(&head, note).await;
            }
            WriteOutcome::Failed(err) => return Err(err.into()),
            WriteOutcome::Unknown(err) => {
                return Ok(ApplyReport::Unknown {
                    note: note.id,
                    detail: err.to_string(),
                });
            }
        }
        self.store_accepted(&head, &next_head, &catalog, &next, &note)
            .await;
        Ok(ApplyReport::Accepted {
            revision: next.revision,
            changes: planned_changes(&catalog, &next),
            note: note.id,
            entries: Vec::new(),
            in_force: None,
        })
    }

    /// Returns the head with the note appended, and with a new snapshot and a shorter tail if too
    /// many notes follow the last snapshot.
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
            self.store_tail_notes(head).await?;
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

    /// Stores the record of every note since the snapshot, in case an earlier applier failed to: a
    /// new snapshot shortens the tail, and a note that was stored only there would be lost.
    async fn store_tail_notes(&self, head: &CatalogHead) -> Result<(), OperatorError> {
        let mut before = Arc::new(self.store.read_snapshot(&head.snapshot).await?);
        for note in &head.tail {
            if note.against != before.revision {
                continue;
            }
            let Ok(after) = before.apply(note) else {
                break;
            };
            self.store
                .write_note(&note_record(&before, &after, note))
                .await?;
            before = Arc::new(after);
        }
        Ok(())
    }

    /// Writes the head. If the response is lost, writes it again, which succeeds only while the old
    /// head is stored; after a conflict, reads back whether this note was accepted.
    async fn write_head(
        &self,
        head: &CatalogHead,
        version: Version,
        note: &ReleaseNote,
    ) -> WriteOutcome {
        let started = Instant::now();
        let mut may_be_written = false;
        loop {
            let failure = match self.store.update_head(head, version.clone()).await {
                Ok(()) => return WriteOutcome::Accepted,
                Err(PlatformError::Conflict | PlatformError::NotFound) => {
                    match self.is_accepted(note).await {
                        Ok(true) => return WriteOutcome::Accepted,
                        Ok(false) => return WriteOutcome::Conflict,
                        Err(err) => err,
                    }
                }
                Err(err @ PlatformError::Rejected(_)) if !may_be_written => {
                    return WriteOutcome::Failed(err);
                }
                Err(err) => {
                    may_be_written |= err.may_have_written();
                    err
                }
            };
            if started.elapsed() >= self.resolve_timeout && may_be_written {
                return WriteOutcome::Unknown(failure);
            }
            if started.elapsed() >= self.resolve_timeout {
                return WriteOutcome::Failed(failure);
            }
            Timer::after(RETRY_INTERVAL).await;
        }
    }

    /// Whether this note, and no other, made its revision: compares its id with the one in the
    /// head's tail or, if the tail no longer has that revision, in the stored record.
    async fn is_accepted(&self, note: &ReleaseNote) -> Result<bool, PlatformError> {
        let Some((head, _)) = self.store.read_head().await? else {
            return Ok(false);
        };
        let accepted = head.tail.iter().find(|n| n.revision() == note.revision());
        if let Some(accepted) = accepted {
            return Ok(accepted.id == note.id);
        }
        let stored = self.store.read_note(note.revision()).await?;
        Ok(stored.is_some_and(|stored| stored.note.id == note.id))
    }

    /// Stores the note's record and, after a new snapshot, deletes the one two snapshots back. A
    /// record that is not stored here is stored before the next snapshot; a failed deletion is not
    /// repeated.
    async fn store_accepted(
        &self,
        head: &CatalogHead,
        next_head: &CatalogHead,
        before: &Catalog,
        after: &Catalog,
        note: &ReleaseNote,
    ) {
        let stored = self
            .store
            .write_note(&note_record(before, after, note))
            .await;
        if let Err(err) = stored {
            log::warn!("event=note_not_kept error={:?}", err.to_string());
        }
        if next_head.snapshot != head.snapshot {
            let _ = self.store.delete_snapshot(&head.previous_snapshot).await;
        }
    }

    /// Deletes the snapshot that was written for a head that was not accepted.
    async fn delete_new_snapshot(&self, head: &CatalogHead, next_head: &CatalogHead) {
        if next_head.snapshot != head.snapshot {
            let _ = self.store.delete_snapshot(&next_head.snapshot).await;
        }
    }

    /// Reports the notes that were accepted first, and what `note` would change on top of them.
    async fn lost_race_report(
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
                None => others.extend(
                    self.store
                        .read_note(revision)
                        .await?
                        .map(|record| record.note),
                ),
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
            others: others.iter().map(history_row).collect(),
            merged,
            conflicts,
        })
    }

    /// Waits until every listed or reporting entry has `revision` or a later one in force, at most
    /// for `timeout`; returns the entries and whether all have.
    pub async fn wait_until_in_force(
        &self,
        revision: u64,
        entries: &EntryAdminClient,
        timeout: Duration,
    ) -> (Vec<EntryRow>, bool) {
        let started = Instant::now();
        loop {
            let listed = listed_entries(&self.platform).await;
            let reported = entries.revisions_in_force().await;
            let rows = entry_rows(&reported, listed.as_deref().unwrap_or_default());
            let all_current = rows
                .iter()
                .all(|r| r.revision.is_some_and(|r| r >= revision));
            let done = all_current && listed.is_ok() && !reported.is_empty();
            if done || started.elapsed() >= timeout {
                return (rows, done);
            }
            Timer::after(RETRY_INTERVAL).await;
        }
    }
}

fn note_record(before: &Catalog, after: &Catalog, note: &ReleaseNote) -> NoteRecord {
    NoteRecord {
        note: note.clone(),
        undo: Some(before.difference(after)),
    }
}

/// Declarations that both the note and one of the others add, change or withdraw, as messages.
fn overlaps(note: &ReleaseNote, others: &[ReleaseNote]) -> Vec<String> {
    let own = declaration_ids(note);
    let mut out = Vec::new();
    for other in others {
        for id in declaration_ids(other).iter().filter(|id| own.contains(id)) {
            out.push(format!(
                "{}.{}: also in the note of revision {} by {}",
                id.kind,
                id.name,
                other.revision(),
                other.by
            ));
        }
    }
    out
}

fn declaration_ids(note: &ReleaseNote) -> Vec<DeclarationId> {
    let mut all = note.added.ids();
    all.extend(note.changed.ids());
    all.extend(note.withdrawn.iter().cloned());
    all
}
