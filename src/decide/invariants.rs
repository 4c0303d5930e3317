//! Invariants checked while the program runs.

/// Counts broken invariants; a debug build stops at the first one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Invariants {
    broken: u64,
}

impl Invariants {
    /// Checks that `holds`; a release build only counts, since an abort would cut other callers.
    pub(super) fn check(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        if !holds {
            self.broken += 1;
            log::error!("event=invariant-broken what={what:?}");
        }
    }

    /// Number of broken invariants seen.
    pub(super) fn broken(self) -> u64 {
        self.broken
    }
}
