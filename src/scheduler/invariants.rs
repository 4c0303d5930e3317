//! Invariants checked while the program runs.

/// Counts broken invariants; a debug build panics at the first one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Invariants {
    broken: u64,
}

impl Invariants {
    /// Checks that `holds`. A release build only counts and logs a failure, since a panic would
    /// drop the requests of other callers.
    pub(super) fn check(&mut self, holds: bool, what: &str) {
        debug_assert!(holds, "{what}");
        if !holds {
            self.broken += 1;
            log::error!("event=invariant-broken what={what:?}");
        }
    }

    /// Number of checks that failed.
    pub(super) fn broken(self) -> u64 {
        self.broken
    }
}
