//! The catalog in force at one entry.

use std::sync::{Mutex, PoisonError};

use arc_swap::ArcSwap;

use crate::catalog::Catalog;
use crate::prelude::*;

/// Holds the catalog in force; its revision never decreases.
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

    /// Puts `catalog` in force if it is newer than the current one; returns whether it did.
    ///
    /// # Panics
    /// When the revision decreases in spite of that check, which would be a bug.
    pub fn install_if_newer(&self, catalog: &Arc<Catalog>) -> bool {
        let mut subscribers = self
            .subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if catalog.revision <= self.current.load().revision {
            return false;
        }
        let old = self.current.swap(catalog.clone());
        assert!(
            old.revision < catalog.revision,
            "the catalog revision decreased"
        );
        subscribers
            .0
            .retain(|tx| tx.force_send(catalog.clone()).is_ok());
        true
    }

    /// Returns a receiver of the current catalog and of each later one; a slow receiver gets only
    /// the newest.
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
