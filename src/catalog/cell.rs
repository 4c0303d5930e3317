//! The catalog in force at one entry.

use std::sync::{Mutex, PoisonError};

use arc_swap::ArcSwap;

use crate::catalog::Catalog;
use crate::prelude::*;

/// Holds the newest catalog seen; it never steps back a revision.
#[derive(Debug, Default)]
pub struct CatalogCell {
    current: ArcSwap<Catalog>,
    subscribers: Mutex<Subscribers>,
}

#[derive(Debug, Default)]
struct Subscribers(Vec<async_channel::Sender<Arc<Catalog>>>);

impl CatalogCell {
    /// The catalog in force.
    #[must_use]
    pub fn current(&self) -> Arc<Catalog> {
        self.current.load_full()
    }

    /// Puts `catalog` in force if it is newer; tells whether it did.
    ///
    /// # Panics
    /// When a step back got past the check, which would be a defect.
    pub fn offer(&self, catalog: &Arc<Catalog>) -> bool {
        let mut subscribers = self
            .subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if catalog.revision <= self.current.load().revision {
            return false;
        }
        let old = self.current.swap(catalog.clone());
        assert!(old.revision < catalog.revision, "catalog stepped back");
        subscribers
            .0
            .retain(|tx| tx.force_send(catalog.clone()).is_ok());
        true
    }

    /// Receives each catalog that comes into force; a slow receiver sees only the newest.
    pub fn subscribe(&self) -> async_channel::Receiver<Arc<Catalog>> {
        let (tx, rx) = async_channel::bounded(1);
        let mut subscribers = self
            .subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let _ = tx.force_send(self.current());
        subscribers.0.push(tx);
        rx
    }
}
