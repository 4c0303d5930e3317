//! Load of a target that many schedulers choose, each of which learns late of the others' requests.

use crate::balance::{Observation, TargetView};
use crate::prelude::*;
use crate::scheduler::fleet::Load;

impl Load {
    /// Whether many schedulers choose the target and learn late of each other's requests.
    pub(crate) fn is_known_late(&self) -> bool {
        self.report.choosers > 0
    }

    /// Schedulers that choose the target and learn late of each other's requests.
    pub(crate) fn choosers(&self) -> u32 {
        self.report.choosers
    }

    /// Records that the target turned a request away for want of room.
    pub(crate) fn record_rejection(&mut self, now: Timestamp, default_slots: u32) {
        self.rejection = Some(Observation {
            at: now,
            requests: self.nominal_slots(default_slots).max(self.own_attempts),
            own: self.own_attempts,
        });
    }

    /// What is known of the target.
    pub(crate) fn late_view(
        &self,
        now: Timestamp,
        default_slots: u32,
        typical_unit_seconds: Option<f64>,
    ) -> TargetView {
        let slots = self.nominal_slots(default_slots);
        let one_slot = 1.0 / f64::from(slots.max(1));
        TargetView {
            seen: self.newest_observation(now),
            own: self.own_attempts,
            slots,
            speed: self.relative_speed(typical_unit_seconds),
            weight: self.ramp_share(now).max(one_slot),
        }
    }

    /// Whether a target whose load is known late takes one more request, unless it is full.
    pub(crate) fn admits(&self, now: Timestamp) -> bool {
        !self.is_paused(now) && self.has_context_room(now)
    }

    /// The newer one of the load report and the last rejection. A target that started after it has
    /// none of those requests.
    fn newest_observation(&self, now: Timestamp) -> Option<Observation> {
        let reported_at = self.reported_at.filter(|_| self.is_fresh(now));
        let reported = reported_at.map(|at| Observation {
            at: at.saturating_sub(Duration::from_millis(self.report.age_ms)),
            requests: self.report.running.saturating_add(self.report.queued),
            own: self.own_attempts_at_report,
        });
        let newest = reported.into_iter().chain(self.rejection);
        let newest = newest.max_by_key(|seen| seen.at)?;
        let start = self.ramp_start.unwrap_or_default();
        (newest.at >= start).then_some(newest)
    }
}
