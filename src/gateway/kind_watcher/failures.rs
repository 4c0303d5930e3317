//! Failed calls of a watcher, and how long it waits after them.

use super::Step;
use crate::platform::PlatformError;
use crate::prelude::*;
use crate::store_view::{back_off_time, listing_back_off_time};

/// Listings in a row that are all reported.
const REPORTED_LISTINGS: u32 = 8;

/// Calls that have failed in a row.
#[derive(Debug, Default)]
pub(super) struct Failures {
    /// Calls since one that succeeded.
    calls: u32,
    /// Calls that would fail again in the same way, since changes were read. A listing that succeeds
    /// between them does not count, as the changes after it may be unreadable again.
    recurring: u32,
    /// Versions that had expired, since changes were read.
    expired: u32,
    /// The failure of the last listing.
    last: Option<PlatformError>,
}

impl Failures {
    /// Records a step that succeeded.
    pub(super) fn record_success(&mut self, step: &Step) {
        self.calls = 0;
        match step {
            Step::List => self.last = None,
            Step::ListOn(_) => {}
            Step::Watch(_) | Step::CatchUp(_) => self.record_progress(),
        }
    }

    /// Records that changes were read before a call failed.
    pub(super) fn record_progress(&mut self) {
        self.calls = 0;
        self.recurring = 0;
        self.expired = 0;
    }

    /// Records a failed step and returns the longest wait before the next one.
    pub(super) fn record_failure(&mut self, err: &PlatformError) -> Duration {
        if err.would_recur() {
            self.recurring += 1;
            return listing_back_off_time(self.recurring - 1);
        }
        if *err == PlatformError::Expired {
            self.expired += 1;
            return back_off_time(self.expired - 1);
        }
        self.calls += 1;
        back_off_time(self.calls - 1)
    }

    /// Whether a listing is to be reported. If each version expires at once, that is so for the first
    /// ones, and then each time that their number has doubled.
    pub(super) fn reports_listing(&self) -> bool {
        self.expired <= REPORTED_LISTINGS || self.expired.is_power_of_two()
    }

    /// Whether a listing failed in another way than the last one, which is recorded.
    pub(super) fn is_new(&mut self, err: &PlatformError) -> bool {
        let is_new = self.last.as_ref() != Some(err);
        self.last = Some(err.clone());
        is_new
    }
}
