//! What a chooser knows of one target.

use crate::balance::{Demand, Observation};
use crate::prelude::*;

/// Horizon relative to the age of an observation: requests sent now are observed about as much later
/// as the observation is old.
const HORIZON_FACTOR: u32 = 2;
/// Free slots that a target must be expected to have to count as one with room.
const MIN_FREE_SLOTS: f64 = 0.5;

/// What a chooser knows of one target.
#[derive(Clone, Copy, Debug)]
pub struct TargetView {
    /// The newest observation; `None` if there is none since the target started.
    pub seen: Option<Observation>,
    /// Own requests that are running there now, which are known exactly.
    pub own: u32,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Speed relative to the typical target.
    pub speed: f64,
    /// Share of its slots that may be used: below one while they are opened step by step after a
    /// start, zero for a target that gets no new requests.
    pub weight: f64,
}

impl TargetView {
    /// Requests of others that were seen there and have not ended since.
    fn remaining_others(&self, now: Timestamp, demand: &Demand) -> f64 {
        self.seen.map_or(0.0, |seen| {
            let age = now.saturating_sub(seen.at);
            f64::from(seen.others()) * demand.still_running(age, self.speed)
        })
    }

    /// Own requests, and the observed requests of others that are expected to run still at the end of
    /// the horizon.
    pub(super) fn known_requests(&self, now: Timestamp, demand: &Demand) -> f64 {
        let others = self.seen.map_or(0.0, |seen| f64::from(seen.others()));
        f64::from(self.own) + others * (1.0 - self.unseen_share(now, demand))
    }

    /// Share of the others' requests running at the end of the horizon that were sent after the
    /// observation; one if there is no observation.
    pub(super) fn unseen_share(&self, now: Timestamp, demand: &Demand) -> f64 {
        self.horizon(now).map_or(1.0, |horizon| {
            1.0 - demand.still_running(horizon, self.speed)
        })
    }

    /// Usable slots: the number of requests at which the target is fully utilized.
    pub(super) fn capacity(&self) -> f64 {
        f64::from(self.slots) * self.weight.clamp(0.0, 1.0)
    }

    /// Time from the observation until requests that are sent now are observed.
    pub(super) fn horizon(&self, now: Timestamp) -> Option<Duration> {
        let age = self.seen.map(|seen| now.saturating_sub(seen.at));
        age.map(|age| age.saturating_mul(HORIZON_FACTOR))
    }

    fn usable_slots(&self) -> f64 {
        let slots = f64::from(self.slots) * self.weight.clamp(0.0, 1.0);
        if slots > 0.0 { slots.max(1.0) } else { 0.0 }
    }

    /// Whether the target is known to have no room. Requests that others sent since the observation
    /// do not count: an old view must not leave room idle, since a rejection costs a caller one
    /// round trip and a target believed to be full costs it a service time.
    #[must_use]
    pub fn is_full(&self, now: Timestamp, demand: &Demand) -> bool {
        let free = self.usable_slots() - f64::from(self.own);
        free < 1.0 || free - self.remaining_others(now, demand) < MIN_FREE_SLOTS
    }

    /// When a full target stops counting as full if no own request ends before; `None` if it has
    /// room now or only the end of an own request makes room.
    #[must_use]
    pub fn full_until(&self, now: Timestamp, demand: &Demand) -> Option<Timestamp> {
        if !self.is_full(now, demand) {
            return None;
        }
        let free = self.usable_slots() - f64::from(self.own);
        let seen = self.seen.filter(|_| free >= 1.0)?;
        let share = (free - MIN_FREE_SLOTS) / f64::from(seen.others());
        let service = demand.service_time.as_secs_f64() / self.speed.max(f64::EPSILON);
        let age = Duration::try_from_secs_f64(-share.ln() * service).ok()?;
        Some((seen.at + age).max(now))
    }
}
