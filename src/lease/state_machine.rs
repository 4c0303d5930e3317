//! State machine of a candidate for a lease; it does no I/O.
//!
//! Clocks of different processes are never compared. A candidate takes over once it has observed
//! the same record for longer than the lease lasts, by its own monotonic clock; a holder measures
//! its lease from the time at which it issued the write, which is before the write took effect.
//! An object that holds no record is treated as the record of an unknown holder, whose fencing tokens
//! are not above the object's revision: each acquisition has a revision of its own.
//! A released lease is acquired at once, but is not used sooner after its last use than one that has
//! expired.

use serde::{Deserialize, Serialize};

use crate::clock::whole_millis;
use crate::lease::object::ObservedLease;
use crate::lease::{LeaseObject, LeaseRecord, LeaseRelease};
use crate::platform::{StoreRevision, Version};
use crate::prelude::*;

/// Identity of a candidate and timing of its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Identity of this process, unique for each start.
    pub holder: Name,
    /// Duration of the lease, from each write.
    pub duration: Duration,
    /// Time beyond `duration` before a candidate takes over; allows for clocks that run at
    /// different rates.
    pub takeover_margin: Duration,
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLease {
    /// Fencing token.
    pub fencing: u64,
    /// When the lease was acquired: the time at which the acquiring write was issued.
    pub since: Timestamp,
    /// When the lease expires unless it is renewed.
    pub until: Timestamp,
}

/// Input of a [`LeaseStateMachine`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The object was read; `None` if it does not exist.
    ObjectRead(Option<LeaseObject>),
    /// The write succeeded; the object now has this version.
    Written(Version),
    /// The write failed because the object's version did not match; nothing was stored.
    Conflict,
    /// The call failed or its answer was lost; a write may or may not have been stored.
    Unanswered,
    /// Checks whether a read or write is due.
    Tick,
}

/// A platform call that a [`LeaseStateMachine`] requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Reads the object.
    Read,
    /// Writes the object on condition that its version is unchanged; without a version, creates it.
    Write {
        /// Version that the object must still have.
        version: Option<Version>,
        /// Record to store.
        record: LeaseRecord,
    },
}

/// A write whose result is not known yet.
#[derive(Clone, Debug)]
struct PendingWrite {
    record: LeaseRecord,
    issued: Timestamp,
    /// Fencing token of the lease that the write renews; `None` for an acquisition.
    renewed_fencing: Option<u64>,
    uses: LeaseUses,
}

/// When a lease is used.
#[derive(Clone, Copy, Debug, Default)]
struct LeaseUses {
    /// Earliest time at which this process may use it.
    from: Timestamp,
    /// Latest time at which this process or the holder before it may have used it.
    last: Timestamp,
}

/// State of one candidate for a lease.
#[derive(Debug)]
pub struct LeaseStateMachine {
    cfg: LeaseSettings,
    observed: Option<ObservedLease>,
    pending_write: Option<PendingWrite>,
    held: Option<HeldLease>,
    uses: LeaseUses,
    /// Whether the lease is given back and not acquired again.
    releasing: bool,
    /// Greatest fencing token that was used or that a target is known to have seen.
    fencing_floor: u64,
    /// Newest era of the store, and since when it is known.
    era: (u64, Timestamp),
    call_in_flight: bool,
    next_call: Timestamp,
}

impl LeaseStateMachine {
    /// Creates a candidate that has not read the lease yet.
    #[must_use]
    pub fn new(cfg: LeaseSettings) -> Self {
        Self {
            cfg,
            observed: None,
            pending_write: None,
            held: None,
            uses: LeaseUses::default(),
            releasing: false,
            fencing_floor: 0,
            era: (0, Timestamp::ZERO),
            call_in_flight: false,
            next_call: Timestamp::ZERO,
        }
    }

    /// The lease, if it is held at `now` and may be used. Call this again after any wait: the lease
    /// may have expired meanwhile.
    #[must_use]
    pub fn held(&self, now: Timestamp) -> Option<HeldLease> {
        let usable = !self.releasing && now >= self.uses.from;
        self.owned(now).filter(|_| usable)
    }

    /// The lease, if it is held at `now`, whether or not it may be used yet.
    #[must_use]
    pub fn owned(&self, now: Timestamp) -> Option<HeldLease> {
        self.held.filter(|held| now < held.until)
    }

    /// Records that the lease is used, such as for an order.
    pub fn record_use(&mut self, now: Timestamp) {
        self.uses.last = self.uses.last.max(now);
    }

    /// Gives the lease back with the next write; from now on it is neither used nor acquired.
    pub fn begin_release(&mut self, now: Timestamp) {
        self.releasing = true;
        self.next_call = now;
    }

    /// Whether a release has ended: the lease is given back, has expired, or was not held.
    #[must_use]
    pub fn is_released(&self, now: Timestamp) -> bool {
        self.releasing && self.pending_write.is_none() && self.owned(now).is_none()
    }

    /// Requires later fencing tokens to exceed `fencing`, which a target has already seen, and
    /// gives up a held lease whose token does not.
    pub fn raise_fencing_floor(&mut self, fencing: u64) {
        self.fencing_floor = self.fencing_floor.max(fencing);
        self.held = self.held.filter(|held| held.fencing > self.fencing_floor);
    }

    /// Records the newest era of the store. A restored store has lost what was written after its
    /// copy, so the lease is given up at once. A former holder may not have noticed yet; the lease
    /// is acquired only after its own time has passed.
    pub fn observe_era(&mut self, now: Timestamp, era: u64) {
        if era <= self.era.0 {
            return;
        }
        self.era = (era, now);
        self.held = None;
        self.pending_write = None;
        self.observed = None;
        self.next_call = now;
    }

    /// Handles an event and appends the platform call that is due, if any. At most one call is in
    /// flight; its result is the next event other than [`LeaseEvent::Tick`].
    pub fn on(&mut self, now: Timestamp, event: LeaseEvent, effects: &mut Vec<LeaseEffect>) {
        if event != LeaseEvent::Tick {
            self.call_in_flight = false;
        }
        match event {
            LeaseEvent::ObjectRead(object) => self.on_read(now, object),
            LeaseEvent::Written(version) => self.on_written(now, version),
            LeaseEvent::Conflict => self.on_conflict(),
            LeaseEvent::Unanswered => self.next_call = now + self.call_interval(),
            LeaseEvent::Tick => {}
        }
        if self.owned(now).is_none() {
            self.held = None;
        }
        if !self.call_in_flight && now >= self.next_call && !self.is_released(now) {
            let effect = self.next_effect(now);
            self.call_in_flight = true;
            effects.push(effect);
        }
    }

    /// Time between a call's result and the next call, short enough for several renewals within one
    /// duration of the lease.
    fn call_interval(&self) -> Duration {
        self.cfg.duration / 4
    }

    /// Records the object. If it contains the record of a write whose answer was lost, that write
    /// succeeded.
    fn on_read(&mut self, now: Timestamp, object: Option<LeaseObject>) {
        let record = object.as_ref().and_then(|object| object.record.as_ref());
        let pending = self.pending_write.take();
        let stored = pending.filter(|write| record == Some(&write.record));
        if let (Some(write), Some(object)) = (stored, &object) {
            self.acquire_or_renew(&write, &object.version);
        }
        let is_holder = record.is_some_and(|r| r.holder == self.cfg.holder);
        if !is_holder {
            self.held = None;
        }
        let unchanged = self.observed.as_ref().is_some_and(|o| o.object == object);
        if !unchanged {
            self.observed = Some(ObservedLease { object, since: now });
        }
        self.next_call = now + self.call_interval();
        let may_acquire = self.may_acquire(now);
        if self.releasing || (may_acquire && self.held.is_none()) {
            self.next_call = now;
        }
    }

    fn on_written(&mut self, now: Timestamp, version: Version) {
        let Some(write) = self.pending_write.take() else {
            return;
        };
        self.acquire_or_renew(&write, &version);
        let object = LeaseObject {
            version,
            record: Some(write.record),
        };
        self.observed = Some(ObservedLease {
            object: Some(object),
            since: now,
        });
        self.next_call = now;
        if !self.releasing {
            self.next_call += self.call_interval();
        }
    }

    fn on_conflict(&mut self) {
        self.pending_write = None;
        self.held = None;
        self.observed = None;
    }

    /// Holds the lease after a write that got `version`, unless the write released it. In a store with
    /// eras, the token of an acquisition is its era and revision: a record written again after a
    /// restore may repeat the token of a lost one.
    fn acquire_or_renew(&mut self, write: &PendingWrite, version: &Version) {
        if write.record.release.is_some() {
            self.held = None;
            return;
        }
        let until = write.issued + self.cfg.duration;
        let revision = StoreRevision::of(version);
        let acquired = if revision.era() > 0 {
            write.record.fencing.max(revision.to_bits())
        } else {
            write.record.fencing
        };
        let fencing = write.renewed_fencing.unwrap_or(acquired);
        self.fencing_floor = self.fencing_floor.max(fencing);
        let renewed = self.held.filter(|held| held.fencing == fencing);
        if let Some(old) = self.held {
            assert!(fencing >= old.fencing, "fencing token decreased");
        }
        self.held = Some(HeldLease {
            fencing,
            since: renewed.map_or(write.issued, |held| held.since),
            until,
        });
        self.uses.from = self.uses.from.max(write.uses.from);
        self.uses.last = self.uses.last.max(write.uses.last);
    }

    /// Time after its last change or use from which an expired lease may be acquired.
    fn takeover_time(&self) -> Duration {
        self.cfg.duration + self.cfg.takeover_margin
    }

    /// Whether the lease may be acquired: it does not exist, was released, names this process, or
    /// has not changed for longer than its duration and the margin.
    fn may_acquire(&self, now: Timestamp) -> bool {
        let Some(observed) = &self.observed else {
            return false;
        };
        let (era, era_since) = self.era;
        let takeover_time = self.takeover_time();
        let record = observed.record();
        if record.is_some_and(|r| r.release.is_some_and(|release| release.era == era)) {
            return true;
        }
        if era > 0 && now < era_since + takeover_time {
            return false;
        }
        let Some(object) = &observed.object else {
            return true;
        };
        let is_own = record.is_some_and(|record| record.holder == self.cfg.holder);
        let expired = now >= observed.since + takeover_time;
        is_own || (expired && object.known_fencing().is_some())
    }

    /// For how long the observed lease had not been used when it was released, and since when its
    /// release is known; `None` for one that was not released.
    fn observed_release(&self) -> Option<(Duration, Timestamp)> {
        let observed = self.observed.as_ref()?;
        let idle = Duration::from_millis(observed.record()?.release?.idle_ms);
        Some((idle, observed.since))
    }

    /// When the lease is used if it is acquired now.
    fn uses_after_acquisition(&self, now: Timestamp) -> LeaseUses {
        match self.observed_release() {
            Some((idle, since)) => LeaseUses {
                from: since + self.takeover_time().saturating_sub(idle),
                last: since.saturating_sub(idle),
            },
            // The holder before may have used the lease until it expired.
            None => LeaseUses {
                from: Timestamp::ZERO,
                last: now.saturating_sub(self.cfg.takeover_margin),
            },
        }
    }

    /// The call that is due: a write if the lease is held or may be acquired, otherwise a read.
    /// While the result of a write is unknown, the object is read to find out.
    fn next_effect(&mut self, now: Timestamp) -> LeaseEffect {
        let unresolved = self.pending_write.is_some();
        let observed = self.observed.as_ref().filter(|_| !unresolved);
        let Some(object) = observed.map(|o| o.object.clone()) else {
            return LeaseEffect::Read;
        };
        let held = self.owned(now);
        if held.is_none() && !self.may_acquire(now) {
            return LeaseEffect::Read;
        }
        let old = object.as_ref().and_then(|object| object.record.as_ref());
        let record = match held.and(old) {
            Some(old) => self.next_record(now, old),
            None => self.first_record(object.as_ref()),
        };
        self.pending_write = Some(PendingWrite {
            record: record.clone(),
            issued: now,
            renewed_fencing: held.map(|held| held.fencing),
            uses: held.map_or_else(|| self.uses_after_acquisition(now), |_| self.uses),
        });
        LeaseEffect::Write {
            version: object.map(|object| object.version),
            record,
        }
    }

    /// The record that acquires the lease after what was stored before.
    fn first_record(&self, old: Option<&LeaseObject>) -> LeaseRecord {
        let known = old.and_then(LeaseObject::known_fencing).unwrap_or_default();
        LeaseRecord {
            holder: self.cfg.holder.clone(),
            fencing: known.max(self.fencing_floor) + 1,
            renewal: 0,
            release: None,
        }
    }

    /// The record that renews the lease, or releases it.
    fn next_record(&self, now: Timestamp, old: &LeaseRecord) -> LeaseRecord {
        let release = LeaseRelease {
            idle_ms: whole_millis(now.saturating_sub(self.uses.last)),
            era: self.era.0,
        };
        LeaseRecord {
            holder: self.cfg.holder.clone(),
            fencing: old.fencing,
            renewal: old.renewal + 1,
            release: self.releasing.then_some(release),
        }
    }
}
