//! Claimant names, `{entry}.{boot}.{counter}` with boot and counter in hexadecimal.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::prelude::*;

/// Generates the claimant names of one process.
///
/// The boot number is random at each process start, so that a restarted entry does not reuse names.
#[derive(Debug)]
pub(crate) struct ClaimantGenerator {
    entry: Name,
    boot: u64,
    counter: AtomicU64,
}

impl ClaimantGenerator {
    pub(crate) fn new(entry: Name) -> Self {
        Self {
            entry,
            boot: fastrand::u64(..),
            counter: AtomicU64::new(0),
        }
    }

    /// A claimant name that was never returned before.
    pub(crate) fn next(&self) -> Name {
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        format!("{}.{:x}.{number:x}", self.entry, self.boot).into()
    }

    /// Whether this process generated the claimant name.
    pub(crate) fn generated(&self, claimant: &str) -> bool {
        let mut parts = claimant.rsplitn(3, '.');
        let boot = parts.nth(1).map(|b| u64::from_str_radix(b, 16));
        boot == Some(Ok(self.boot)) && parts.next() == Some(&*self.entry)
    }
}

/// Name of the entry that generated the claimant name.
pub(crate) fn entry_of(claimant: &str) -> &str {
    claimant.rsplitn(3, '.').nth(2).unwrap_or_default()
}
