//! Estimated load of a target.

mod late_view;

use crate::balance::Observation;
use crate::prelude::*;
use crate::scheduler::ewma::Ewma;
use crate::target::LoadReport;

/// Age from which the requests, work and context in a load report are ignored; its slots and weight
/// versions still count.
const REPORT_MAX_AGE: Duration = Duration::from_secs(5);
/// Share of a target's context capacity that may be in use before it has no room.
const MAX_CONTEXT_SHARE: f64 = 0.85;
/// First-token times needed before a target can count as slow.
const MIN_SPEED_SAMPLES: u32 = 3;
/// A target counts as slow when its first tokens take this many times as long as typical.
const SLOW_FACTOR: f64 = 3.0;
/// Time over which the slots of a new or recovered target are opened.
const RAMP_UP_TIME: Duration = Duration::from_secs(5);

/// Load of one attempt, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AttemptSize {
    /// Remaining work, in prompt tokens.
    pub(crate) work: u32,
    /// Context that it occupies.
    pub(crate) context: u32,
}

/// Load of one target by the requests of this entry alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnLoad {
    /// Running requests.
    pub requests: u32,
    /// Remaining work, in prompt tokens.
    pub work: u32,
    /// Context in use, in tokens.
    pub context: u32,
}

impl OwnLoad {
    /// Adds another load to this one.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.work += other.work;
        self.context += other.context;
    }
}

/// Estimated load of a target: this entry's own requests are counted exactly, those of other
/// entries are known from load reports that lag. In a report, the running and queued requests
/// include this entry's own; the queued work and the context are taken to be those of others.
#[derive(Debug, Default)]
pub(crate) struct Load {
    /// Newest load report.
    pub(crate) report: LoadReport,
    reported_at: Option<Timestamp>,
    own_attempts: u32,
    /// Sum over the own attempts.
    own_size: AttemptSize,
    own_attempts_at_report: u32,
    /// First-token time, in seconds per unit of work.
    unit_seconds: Ewma,
    ramp_start: Option<Timestamp>,
    paused_until: Timestamp,
    /// Load seen when the target last turned a request away.
    rejection: Option<Observation>,
}

impl Load {
    /// Replaces the load report.
    pub(crate) fn apply_report(&mut self, now: Timestamp, report: LoadReport) {
        self.report = report;
        self.reported_at = Some(now);
        self.own_attempts_at_report = self.own_attempts;
    }

    /// Own attempts running at the target.
    pub(crate) fn own_attempts(&self) -> u32 {
        self.own_attempts
    }

    /// Load by this entry's own requests.
    pub(crate) fn own_load(&self) -> OwnLoad {
        OwnLoad {
            requests: self.own_attempts,
            work: self.own_size.work,
            context: self.own_size.context,
        }
    }

    /// Adds an own attempt.
    pub(crate) fn add_attempt(&mut self, size: AttemptSize) {
        self.own_attempts += 1;
        self.own_size.work += size.work;
        self.own_size.context += size.context;
    }

    /// Changes the size of an own attempt.
    pub(crate) fn resize(&mut self, before: AttemptSize, after: AttemptSize) {
        self.own_size.work = (self.own_size.work + after.work).saturating_sub(before.work);
        self.own_size.context =
            (self.own_size.context + after.context).saturating_sub(before.context);
    }

    /// Removes an own attempt; `false` when there was none.
    pub(crate) fn remove_attempt(&mut self, size: AttemptSize) -> bool {
        let had_attempt = self.own_attempts > 0;
        self.own_attempts = self.own_attempts.saturating_sub(1);
        self.resize(size, AttemptSize::default());
        had_attempt
    }

    /// Work queued at the target by all entries, in prompt tokens at the typical speed.
    pub(crate) fn work(&self, now: Timestamp, typical_unit_seconds: Option<f64>) -> f64 {
        let others = if self.is_fresh(now) {
            u32::try_from(self.report.queued_tokens).unwrap_or(u32::MAX)
        } else {
            0
        };
        let work = f64::from(self.own_size.work.saturating_add(others));
        work / self.relative_speed(typical_unit_seconds)
    }

    /// Whether the context of one more request fits; true when the capacity is unknown.
    fn has_context_room(&self, now: Timestamp) -> bool {
        if self.report.context_limit == 0 || !self.is_fresh(now) {
            return true;
        }
        let held = self
            .own_size
            .context
            .saturating_add(self.report.context_tokens);
        f64::from(held) < f64::from(self.report.context_limit) * MAX_CONTEXT_SHARE
    }

    /// Age of the figures in the newest load report; `None` when they are too old to use.
    pub(crate) fn age(&self, now: Timestamp) -> Option<Duration> {
        let at = self.reported_at.filter(|_| self.is_fresh(now))?;
        let age = now.saturating_sub(at) + Duration::from_millis(self.report.age_ms);
        (age < REPORT_MAX_AGE).then_some(age)
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        self.reported_at.is_some_and(|at| now < at + REPORT_MAX_AGE)
    }

    /// Starts to open the slots of the target step by step.
    pub(crate) fn start_ramp_up(&mut self, now: Timestamp) {
        self.ramp_start = Some(now);
    }

    /// Opens all slots at once.
    pub(crate) fn skip_ramp_up(&mut self) {
        self.ramp_start = None;
    }

    /// Whether the slots are still being opened.
    pub(crate) fn is_ramping(&self, now: Timestamp) -> bool {
        self.ramp_start
            .is_some_and(|from| now < from + RAMP_UP_TIME)
    }

    /// Gives the target no new work until `until`.
    pub(crate) fn pause_until(&mut self, until: Timestamp) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Whether the target gets no new work for a time.
    pub(crate) fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }

    /// End of the pause in which the target gets no new work.
    pub(crate) fn paused_until(&self) -> Timestamp {
        self.paused_until
    }

    /// Adds a first-token time, in seconds per unit of work.
    pub(crate) fn add_unit_seconds(&mut self, seconds: f64) {
        self.unit_seconds.add(seconds);
    }

    /// Requests of other entries by the load report; zero when it is too old.
    fn requests_of_others(&self, now: Timestamp) -> u32 {
        let fresh = self.is_fresh(now);
        let total = self.report.running.saturating_add(self.report.queued);
        if fresh {
            total.saturating_sub(self.own_attempts_at_report)
        } else {
            0
        }
    }

    /// Slots in use by all entries.
    pub(crate) fn used_slots(&self, now: Timestamp) -> u32 {
        self.own_attempts
            .saturating_add(self.requests_of_others(now))
    }

    /// Slots that may be in use: fewer for a slow target and during the ramp-up.
    pub(crate) fn slots(
        &self,
        now: Timestamp,
        default: u32,
        typical_unit_seconds: Option<f64>,
    ) -> u32 {
        let slots = self.nominal_slots(default);
        let scale = self.relative_speed(typical_unit_seconds) * self.ramp_share(now);
        scaled(slots, scale).max(1)
    }

    /// Mean number of slots that may be in use in the coming `period`.
    pub(crate) fn mean_slots(
        &self,
        now: Timestamp,
        period: Duration,
        default: u32,
        typical_unit_seconds: Option<f64>,
    ) -> f64 {
        let slots = f64::from(self.nominal_slots(default));
        slots * self.relative_speed(typical_unit_seconds) * self.mean_ramp_share(now, period)
    }

    /// Slots by the load report, or `default` if it names none.
    fn nominal_slots(&self, default: u32) -> u32 {
        match self.report.slots {
            0 => default,
            slots => slots,
        }
    }

    /// Speed relative to the typical target; one unless the target counts as slow.
    fn relative_speed(&self, typical_unit_seconds: Option<f64>) -> f64 {
        let (Some(own), Some(typical_unit_seconds)) =
            (self.unit_seconds.get(), typical_unit_seconds)
        else {
            return 1.0;
        };
        if self.unit_seconds.samples() < MIN_SPEED_SAMPLES
            || own < SLOW_FACTOR * typical_unit_seconds
        {
            return 1.0;
        }
        typical_unit_seconds / own
    }

    fn ramp_share(&self, now: Timestamp) -> f64 {
        let Some(from) = self.ramp_start else {
            return 1.0;
        };
        let since = now.saturating_sub(from).as_secs_f64();
        (since / RAMP_UP_TIME.as_secs_f64()).min(1.0)
    }

    /// Mean of the ramp-up share in the coming `period`.
    fn mean_ramp_share(&self, now: Timestamp, period: Duration) -> f64 {
        let Some(from) = self.ramp_start.filter(|_| !period.is_zero()) else {
            return self.ramp_share(now);
        };
        let ramp = RAMP_UP_TIME.as_secs_f64();
        // Integral of the share over the time since the start, in seconds.
        let integral = |since: Duration| {
            let since = since.as_secs_f64();
            let rising = since.min(ramp);
            rising * rising / (2.0 * ramp) + (since - rising)
        };
        let since = now.saturating_sub(from);
        (integral(since + period) - integral(since)) / period.as_secs_f64()
    }

    /// Whether one more request fits, as long as new work is not paused and the context has room. A
    /// target is contended when it queues requests and has some of other entries: then the entries
    /// share its slots evenly. Otherwise an entry may use any free slot, and its even share
    /// (rounded down) even when none is free.
    pub(crate) fn has_room(&self, now: Timestamp, slots: u32, entries: u32) -> bool {
        if self.is_paused(now) || !self.has_context_room(now) {
            return false;
        }
        let others = self.requests_of_others(now);
        let contended = self.report.queued > 0 && others > 0;
        if contended {
            return self.own_attempts < slots.div_ceil(entries);
        }
        self.own_attempts.saturating_add(others) < slots || self.own_attempts < slots / entries
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(slots: u32, scale: f64) -> u32 {
    (f64::from(slots) * scale.clamp(0.0, 1.0)).ceil() as u32
}
