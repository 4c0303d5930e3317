//! A lease without input or output.
//!
//! No clocks are compared: a candidate takes over when it has seen the same record for longer than
//! the lease by its own monotonic time, and a holder counts from the moment before it wrote.

use serde::{Deserialize, Serialize};

use crate::lease::LeaseRecord;
use crate::platform::Version;
use crate::prelude::*;

/// Settings of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// This process; distinct for each start.
    pub holder: Name,
    /// Time of the lease after each write.
    pub time: Duration,
    /// Further time before a candidate takes over, against clocks that run at different rates.
    pub margin: Duration,
}

/// A holding of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// Fencing number.
    pub fencing: u64,
    /// Start of the holding.
    pub since: Timestamp,
    /// End of the lease unless it is renewed.
    pub until: Timestamp,
}

/// Something that happened to a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The object was read; `None` when it does not exist.
    Seen(Option<(Version, LeaseRecord)>),
    /// The write was stored under this version.
    Written(Version),
    /// The write was refused, nothing was stored.
    Refused,
    /// The call failed; a write may have been stored.
    Unanswered,
    /// Time passed.
    Tick,
}

/// Something to be done for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Read the object.
    Read,
    /// Write the object if its version fits; `None` creates it.
    Write {
        /// Version to replace.
        version: Option<Version>,
        /// The new record.
        record: LeaseRecord,
    },
}

#[derive(Clone, Debug)]
struct Seen {
    object: Option<(Version, LeaseRecord)>,
    since: Timestamp,
}

#[derive(Clone, Debug)]
struct Attempt {
    record: LeaseRecord,
    started: Timestamp,
}

/// One process's part in a lease.
#[derive(Debug)]
pub struct LeaseMachine {
    cfg: LeaseSettings,
    seen: Option<Seen>,
    attempt: Option<Attempt>,
    hold: Option<Hold>,
    floor: u64,
    busy: bool,
    next: Timestamp,
}

impl LeaseMachine {
    /// Makes a candidate that has seen nothing.
    #[must_use]
    pub fn new(cfg: LeaseSettings) -> Self {
        Self {
            cfg,
            seen: None,
            attempt: None,
            hold: None,
            floor: 0,
            busy: false,
            next: Timestamp::ZERO,
        }
    }

    /// The holding in force at `now`; asked anew after any pause.
    #[must_use]
    pub fn hold(&self, now: Timestamp) -> Option<Hold> {
        self.hold.filter(|hold| now < hold.until)
    }

    /// Gives up a holding that is not above `fencing`, which a target has seen; the next is greater.
    pub fn raise(&mut self, fencing: u64) {
        self.floor = self.floor.max(fencing);
        self.hold = self.hold.filter(|hold| hold.fencing > self.floor);
    }

    /// Reacts to one event; at most one effect is under way.
    pub fn on(&mut self, now: Timestamp, event: LeaseEvent, effects: &mut Vec<LeaseEffect>) {
        if event != LeaseEvent::Tick {
            self.busy = false;
        }
        match event {
            LeaseEvent::Seen(object) => self.see(now, object),
            LeaseEvent::Written(version) => self.written(now, version),
            LeaseEvent::Refused => self.refused(),
            LeaseEvent::Unanswered => self.next = now + self.pause(),
            LeaseEvent::Tick => {}
        }
        if self.hold(now).is_none() {
            self.hold = None;
        }
        if !self.busy && now >= self.next {
            let effect = self.step(now);
            self.busy = true;
            effects.push(effect);
        }
    }

    fn pause(&self) -> Duration {
        self.cfg.time / 4
    }

    /// Takes note of the object; a lost answer is resolved when it shows the record attempted.
    fn see(&mut self, now: Timestamp, object: Option<(Version, LeaseRecord)>) {
        let attempted = self.attempt.take();
        let landed = attempted.filter(|a| object.as_ref().is_some_and(|(_, r)| *r == a.record));
        if let Some(attempt) = landed {
            self.take_hold(&attempt);
        }
        let record = object.as_ref().map(|(_, record)| record);
        let mine = record.is_some_and(|r| r.holder == self.cfg.holder);
        if !mine {
            self.hold = None;
        }
        let known = self.seen.as_ref().is_some_and(|s| s.object == object);
        if !known {
            self.seen = Some(Seen { object, since: now });
        }
        self.next = now + self.pause();
        let free = self.may_take(now);
        if free && self.hold.is_none() {
            self.next = now;
        }
    }

    fn written(&mut self, now: Timestamp, version: Version) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.take_hold(&attempt);
        let object = Some((version, attempt.record));
        self.seen = Some(Seen { object, since: now });
        self.next = now + self.pause();
    }

    fn refused(&mut self) {
        self.attempt = None;
        self.hold = None;
        self.seen = None;
    }

    fn take_hold(&mut self, attempt: &Attempt) {
        let (fencing, until) = (attempt.record.fencing, attempt.started + self.cfg.time);
        let kept = self.hold.filter(|hold| hold.fencing == fencing);
        if let Some(old) = self.hold {
            assert!(fencing >= old.fencing, "the fencing number went back");
        }
        self.hold = Some(Hold {
            fencing,
            since: kept.map_or(attempt.started, |hold| hold.since),
            until,
        });
    }

    /// Tells whether the lease is free as far as this process can know.
    fn may_take(&self, now: Timestamp) -> bool {
        let Some(seen) = &self.seen else {
            return false;
        };
        let lapsed = now >= seen.since + self.cfg.time + self.cfg.margin;
        let record = seen.object.as_ref().map(|(_, record)| record);
        lapsed || record.is_none_or(|record| record.holder == self.cfg.holder)
    }

    fn step(&mut self, now: Timestamp) -> LeaseEffect {
        let unresolved = self.attempt.is_some();
        let seen = self.seen.as_ref().filter(|_| !unresolved);
        let Some(object) = seen.map(|s| s.object.clone()) else {
            return LeaseEffect::Read;
        };
        let held = self.hold(now);
        if held.is_none() && !self.may_take(now) {
            return LeaseEffect::Read;
        }
        let old = object.as_ref().map(|(_, record)| record);
        let record = LeaseRecord {
            holder: self.cfg.holder.clone(),
            fencing: held.map_or_else(
                || old.map_or(0, |record| record.fencing).max(self.floor) + 1,
                |hold| hold.fencing,
            ),
            renewal: held.and(old).map_or(0, |record| record.renewal + 1),
        };
        self.attempt = Some(Attempt {
            record: record.clone(),
            started: now,
        });
        LeaseEffect::Write {
            version: object.map(|(version, _)| version),
            record,
        }
    }
}
