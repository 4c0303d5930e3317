//! Names of claimants.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::prelude::*;

/// Makes claimants of one process: entry, boot and counter, so that each attempt has its own.
#[derive(Debug)]
pub(crate) struct Claimants {
    entry: Name,
    boot: u64,
    counter: AtomicU64,
}

impl Claimants {
    pub(crate) fn new(entry: Name) -> Self {
        Self {
            entry,
            boot: fastrand::u64(..),
            counter: AtomicU64::new(0),
        }
    }

    pub(crate) fn next(&self) -> Name {
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        format!("{}.{:x}.{number:x}", self.entry, self.boot).into()
    }

    /// Tells whether this process made the claimant.
    pub(crate) fn made(&self, claimant: &str) -> bool {
        let mut parts = claimant.rsplitn(3, '.');
        let boot = parts.nth(1).map(|b| u64::from_str_radix(b, 16));
        boot == Some(Ok(self.boot)) && parts.next() == Some(&*self.entry)
    }
}

/// The entry that a claimant belongs to.
pub(crate) fn entry_of(claimant: &str) -> &str {
    claimant.rsplitn(3, '.').nth(2).unwrap_or_default()
}
