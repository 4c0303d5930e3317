//! Estimated load of a target.

use crate::decide::ewma::Ewma;
use crate::prelude::*;
use crate::target::LoadReport;

/// Age at which a report no longer counts.
const STALE: Duration = Duration::from_secs(5);
/// Part of a target's context that is filled before requests wait.
const CONTEXT_PART: f64 = 0.85;
/// Samples before a target's speed counts.
const ENOUGH: u32 = 3;
/// Slowness against the typical target that counts.
const SLOW: f64 = 3.0;
/// Time over which a target that came back is filled.
const RAMP: Duration = Duration::from_secs(5);

/// Work and context of one attempt, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Size {
    /// Work still to be done, in prompt tokens.
    pub(crate) work: u32,
    /// Context held while it runs.
    pub(crate) context: u32,
}

/// What an entry has under way at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnLoad {
    /// Requests.
    pub requests: u32,
    /// Work still to be done, in prompt tokens.
    pub work: u32,
    /// Context held, in tokens.
    pub context: u32,
}

/// Estimated load of a target: own requests exactly, those of others by a lagging report.
#[derive(Debug, Default)]
pub(crate) struct Load {
    /// Newest report.
    pub(crate) report: LoadReport,
    reported: Option<Timestamp>,
    own: u32,
    size: Size,
    own_at_report: u32,
    speed: Ewma,
    ramp_from: Option<Timestamp>,
    closed_until: Timestamp,
}

impl Load {
    /// Takes a report.
    pub(crate) fn take_report(&mut self, now: Timestamp, report: LoadReport) {
        self.report = report;
        self.reported = Some(now);
        self.own_at_report = self.own;
    }

    /// Own requests at the target.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// All that is own at the target.
    pub(crate) fn own_load(&self) -> OwnLoad {
        OwnLoad {
            requests: self.own,
            work: self.size.work,
            context: self.size.context,
        }
    }

    /// Records a dispatch.
    pub(crate) fn add(&mut self, size: Size) {
        self.own += 1;
        self.size.work += size.work;
        self.size.context += size.context;
    }

    /// Records that an attempt's size has changed.
    pub(crate) fn resize(&mut self, before: Size, after: Size) {
        self.size.work = (self.size.work + after.work).saturating_sub(before.work);
        self.size.context = (self.size.context + after.context).saturating_sub(before.context);
    }

    /// Records the end of an attempt; `false` when there was none.
    pub(crate) fn remove(&mut self, size: Size) -> bool {
        let held = self.own > 0;
        self.own = self.own.saturating_sub(1);
        self.resize(size, Size::default());
        held
    }

    /// Work that waits at the target, own and others', in prompt tokens at the typical speed.
    pub(crate) fn work(&self, now: Timestamp, typical: Option<f64>) -> f64 {
        let others = if self.is_fresh(now) {
            u32::try_from(self.report.queued_tokens).unwrap_or(u32::MAX)
        } else {
            0
        };
        let work = f64::from(self.size.work.saturating_add(others));
        work / self.relative_speed(typical)
    }

    /// Whether context of one more request fits, as far as limits are known.
    fn has_context_room(&self, now: Timestamp) -> bool {
        if self.report.context_limit == 0 || !self.is_fresh(now) {
            return true;
        }
        let held = self.size.context.saturating_add(self.report.context_tokens);
        f64::from(held) < f64::from(self.report.context_limit) * CONTEXT_PART
    }

    /// Age of the newest report, unless it is too old to count.
    pub(crate) fn age(&self, now: Timestamp) -> Option<Duration> {
        let at = self.reported.filter(|_| self.is_fresh(now))?;
        Some(now.saturating_sub(at) + Duration::from_millis(self.report.age_ms))
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        self.reported.is_some_and(|at| now < at + STALE)
    }

    /// Begins to fill the target slowly.
    pub(crate) fn ramp(&mut self, now: Timestamp) {
        self.ramp_from = Some(now);
    }

    /// Tells whether the target is being filled slowly.
    pub(crate) fn is_ramping(&self, now: Timestamp) -> bool {
        self.ramp_from.is_some_and(|from| now < from + RAMP)
    }

    /// Stops new work until `until`.
    pub(crate) fn close(&mut self, until: Timestamp) {
        self.closed_until = self.closed_until.max(until);
    }

    /// Adds a first-token time, in seconds for each unit of work.
    pub(crate) fn add_speed(&mut self, seconds: f64) {
        self.speed.add(seconds);
    }

    /// Requests of others, as far as the report tells.
    fn others(&self, now: Timestamp) -> u32 {
        let fresh = self.is_fresh(now);
        let total = self.report.running.saturating_add(self.report.queued);
        if fresh {
            total.saturating_sub(self.own_at_report)
        } else {
            0
        }
    }

    /// Slots in use, own and others'.
    pub(crate) fn used(&self, now: Timestamp) -> u32 {
        self.own.saturating_add(self.others(now))
    }

    /// Slots that may be used, fewer for a slow target and for one that came back just now.
    pub(crate) fn slots(&self, now: Timestamp, default: u32, typical: Option<f64>) -> u32 {
        let slots = match self.report.slots {
            0 => default,
            n => n,
        };
        let scale = self.relative_speed(typical) * self.filled(now);
        scaled(slots, scale).max(1)
    }

    /// Speed against the typical target, at most one.
    fn relative_speed(&self, typical: Option<f64>) -> f64 {
        let (Some(own), Some(typical)) = (self.speed.get(), typical) else {
            return 1.0;
        };
        if self.speed.samples() < ENOUGH || own < SLOW * typical {
            return 1.0;
        }
        typical / own
    }

    fn filled(&self, now: Timestamp) -> f64 {
        let Some(from) = self.ramp_from else {
            return 1.0;
        };
        let since = now.saturating_sub(from).as_secs_f64();
        (since / RAMP.as_secs_f64()).min(1.0)
    }

    /// Tells whether one more request fits. Entries of the domain share a contended target evenly,
    /// and each may always use its own part.
    pub(crate) fn has_room(&self, now: Timestamp, slots: u32, entries: u32) -> bool {
        if now < self.closed_until || !self.has_context_room(now) {
            return false;
        }
        let others = self.others(now);
        let contended = self.report.queued > 0 && others > 0;
        if contended {
            return self.own < slots.div_ceil(entries);
        }
        self.own.saturating_add(others) < slots || self.own < slots / entries
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(slots: u32, scale: f64) -> u32 {
    (f64::from(slots) * scale.clamp(0.0, 1.0)).ceil() as u32
}
