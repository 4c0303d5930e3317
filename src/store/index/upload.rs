//! From an upload's first byte to its commit.

use crate::prelude::*;
use crate::store::index::block::Life;
use crate::store::index::{BlockInfo, Effect, Generation, Index, Rejection, UploadId};

impl Index {
    pub(super) fn begin(
        &mut self,
        now: Stamp,
        upload: UploadId,
        block: BlockInfo,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(why) = self.refusal(&block.key, &block.customer, block.bytes) {
            effects.push(Effect::Reject { upload, why });
            return;
        }
        self.make_room(now, block.bytes, block.parent, effects);
        let generation = Generation(self.next);
        self.next += 1;
        self.usage.disk += block.bytes;
        assert!(
            self.usage.disk <= self.cfg.disk_bytes,
            "the disk's budget is exceeded"
        );
        self.insert(generation, block, Life::Staging { freed: false });
        let old = self.uploads.insert(upload, generation);
        assert!(old.is_none(), "an upload's number is used twice");
        effects.push(Effect::Stage { upload, generation });
    }

    pub(super) fn staged(&mut self, upload: UploadId, effects: &mut Vec<Effect>) {
        let Some(generation) = self.uploads.get(&upload).copied() else {
            return;
        };
        let block = self.block_mut(generation);
        let Life::Staging { freed } = block.life else {
            unreachable!("only a staging upload becomes staged");
        };
        let why = if freed {
            Some(Rejection::Freed)
        } else {
            self.winner(generation)
        };
        if let Some(why) = why {
            self.uploads.remove(&upload);
            effects.push(Effect::Reject { upload, why });
            self.remove(generation, false, effects);
            return;
        }
        self.block_mut(generation).life = Life::Committing { freed: false };
        effects.push(Effect::Commit { upload, generation });
    }

    pub(super) fn failed(&mut self, upload: UploadId, effects: &mut Vec<Effect>) {
        if let Some(generation) = self.uploads.remove(&upload) {
            self.remove(generation, false, effects);
        }
    }

    pub(super) fn committed(&mut self, now: Stamp, upload: UploadId, effects: &mut Vec<Effect>) {
        let Some(generation) = self.uploads.remove(&upload) else {
            return;
        };
        let Life::Committing { freed } = self.block_mut(generation).life else {
            unreachable!("only a committing upload is committed");
        };
        let why = if freed {
            Some(Rejection::Freed)
        } else {
            self.winner(generation)
        };
        if let Some(why) = why {
            effects.push(Effect::Reject { upload, why });
            self.retire(generation, effects);
            return;
        }
        self.reveal(now, generation);
        effects.push(Effect::Stored { upload });
    }

    /// Why another writer of the same block came first, if one did.
    fn winner(&self, generation: Generation) -> Option<Rejection> {
        let info = &self.blocks[&generation].info;
        let winner = self.held.get(&info.key)?;
        let owned = self.blocks[winner].info.customer == info.customer;
        Some(if owned {
            Rejection::Held
        } else {
            Rejection::NotOwner
        })
    }
}
