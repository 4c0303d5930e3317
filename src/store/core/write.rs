//! Writing a block.

use std::io;

use crate::prelude::*;
use crate::store::core::{Core, Payload, PutOutcome};
use crate::store::disk::{DiskError, Record};
use crate::store::guard::Uploading;
use crate::store::index::{BlockInfo, Effect, Event, Generation, Rejection, UploadId};

impl Core {
    /// Checks, stages and commits a block; blocks. It runs to its end once it has begun, so that
    /// the index and the folder agree.
    pub(crate) fn store(
        self: &Arc<Self>,
        info: BlockInfo,
        digest: blake3::Hash,
        bytes: Vec<u8>,
    ) -> PutOutcome {
        if info.bytes != bytes.len() as u64 || blake3::hash(&bytes) != digest {
            return PutOutcome::BadDigest;
        }
        let upload = UploadId(self.number());
        let block = info.clone();
        let effects = self.apply(Event::Begin { upload, block });
        let _ = self.perform(&effects);
        let generation = match effects.last() {
            Some(Effect::Stage { generation, .. }) => *generation,
            other => return rejected(other),
        };
        let uploading = Uploading {
            core: self.clone(),
            upload,
        };
        let record = Record {
            info,
            digest: *digest.as_bytes(),
        };
        let payload = Arc::new(Payload { digest, bytes });
        self.commit(&uploading, generation, &record, &payload)
    }

    fn commit(
        &self,
        uploading: &Uploading,
        generation: Generation,
        record: &Record,
        payload: &Arc<Payload>,
    ) -> PutOutcome {
        let upload = uploading.upload;
        if let Err(err) = self.folder.stage(generation, record, &payload.bytes) {
            self.fault("stage", &err);
            return stage_failed(&err);
        }
        let effects = self.apply(Event::Staged { upload });
        let _ = self.perform(&effects);
        if !matches!(effects.first(), Some(Effect::Commit { .. })) {
            return rejected(effects.first());
        }
        if let Err(err) = self.folder.commit(generation, &record.info.key) {
            self.fault("commit", &err);
            return PutOutcome::Failed;
        }
        let effects = self.apply(Event::Committed { upload });
        let _ = self.perform(&effects);
        if effects.last() != Some(&Effect::Stored { upload }) {
            return rejected(effects.first());
        }
        self.apply_with(Event::Loaded { generation }, Some(payload));
        PutOutcome::Stored
    }
}

fn rejected(effect: Option<&Effect>) -> PutOutcome {
    match effect {
        Some(Effect::Reject { why, .. }) => PutOutcome::Rejected(*why),
        _ => PutOutcome::Failed,
    }
}

fn stage_failed(err: &DiskError) -> PutOutcome {
    match err {
        DiskError::Io(err) if is_full(err) => PutOutcome::Rejected(Rejection::Full),
        _ => PutOutcome::Failed,
    }
}

fn is_full(err: &io::Error) -> bool {
    use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
    matches!(err.kind(), StorageFull | QuotaExceeded | FileTooLarge)
}
