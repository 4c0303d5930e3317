//! Readers and uploads that end when their task does.

use crate::prelude::*;
use crate::store::core::Core;
use crate::store::index::{Event, ReaderId, UploadId};

/// A reader of a block; its pin is released when it is dropped.
pub(crate) struct Pinned {
    pub(crate) core: Arc<Core>,
    pub(crate) reader: ReaderId,
}

impl Drop for Pinned {
    fn drop(&mut self) {
        let reader = self.reader;
        let effects = self.core.apply(Event::Unpin { reader });
        if effects.is_empty() {
            return;
        }
        let core = self.core.clone();
        blocking::unblock(move || core.perform(&effects)).detach();
    }
}

/// An upload; it counts as failed when it is dropped before its commit.
pub(crate) struct Uploading {
    pub(crate) core: Arc<Core>,
    pub(crate) upload: UploadId,
}

impl Drop for Uploading {
    fn drop(&mut self) {
        let upload = self.upload;
        let effects = self.core.apply(Event::Failed { upload });
        let _ = self.core.perform(&effects);
    }
}
