//! An intake whose every answer is checked against a plain model.

use std::collections::BTreeMap;

use guavahold::intake::{
    ConnectionId, Intake, IntakeLimits, MAX_RETRY_AFTER, MAX_WAIT, MIN_IDLE_TIME, Opened,
    PROGRESS_BYTES, Reservation, SMALL_BYTES, STALL_TIME,
};
use guavahold::prelude::*;

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Idle,
    Receiving,
    Complete,
}

/// A wait for memory.
#[derive(Clone, Copy, Debug)]
pub struct ModelWait {
    pub since: Timestamp,
    pub bytes: usize,
    /// Order in which the waits of a class began.
    order: u64,
    /// Whether the small requests have needed more than their reserve meanwhile.
    pub is_crowded: bool,
}

/// What a connection should be.
#[derive(Clone, Copy, Debug)]
pub struct ModelConnection {
    pub stage: Stage,
    pub bytes: usize,
    pub is_evicted: bool,
    pub wait: Option<ModelWait>,
    last_progress: Timestamp,
    received: usize,
}

impl ModelConnection {
    fn may_be_evicted(&self) -> bool {
        !self.is_evicted && self.stage != Stage::Complete
    }

    fn is_stalled(&self, now: Timestamp) -> bool {
        let is_receiving = self.may_be_evicted() && self.stage == Stage::Receiving;
        is_receiving && now >= self.last_progress + STALL_TIME
    }

    /// Bytes that it keeps or is about to get, if it is small.
    fn small_demand(&self, now: Timestamp) -> usize {
        let wanted = self.wait.map_or(self.bytes, |wait| wait.bytes);
        match (self.wait, self.is_stalled(now)) {
            (None, true) => 0,
            _ if is_small(wanted) => wanted,
            // It still holds its small buffer while it waits for a large one.
            _ if is_small(self.bytes) => self.bytes,
            _ => 0,
        }
    }
}

pub fn is_small(bytes: usize) -> bool {
    bytes <= SMALL_BYTES
}

/// An intake and its model.
pub struct CheckedIntake {
    pub limits: IntakeLimits,
    pub intake: Intake,
    pub model: BTreeMap<ConnectionId, ModelConnection>,
    waits: u64,
}

impl CheckedIntake {
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            intake: Intake::new(limits),
            model: BTreeMap::new(),
            waits: 0,
        }
    }

    pub fn open(&mut self, now: Timestamp) -> Opened {
        let opened = self.intake.open(now);
        match opened {
            Opened::Admitted(id) => self.insert(now, id),
            Opened::AdmittedInPlaceOf { id, evicted } => {
                self.evict_for_place(now, evicted);
                self.insert(now, id);
            }
            Opened::Refused => self.check_no_place(now),
        }
        self.check();
        opened
    }

    pub fn reserve(&mut self, now: Timestamp, id: ConnectionId, bytes: usize) -> Reservation {
        let reservation = self.intake.reserve(now, id, bytes);
        let before = self.model[&id];
        if before.stage == Stage::Idle && bytes > 0 && !before.is_evicted {
            let connection = self.model.get_mut(&id).unwrap();
            connection.stage = Stage::Receiving;
            connection.last_progress = now;
            connection.received = 0;
        }
        match &reservation {
            Reservation::Granted => self.grant(id, bytes),
            Reservation::Wait { evicted, ask_again } => {
                assert!(bytes > before.bytes, "shrinking is granted");
                assert!(!ask_again.is_zero() && *ask_again <= MAX_WAIT);
                self.wait(now, id, bytes);
                for other in evicted {
                    self.evict_for_memory(now, id, *other);
                }
            }
            Reservation::Refused { retry_after } => {
                assert!(bytes > before.bytes, "shrinking is granted");
                assert!(!retry_after.is_zero() && *retry_after <= MAX_RETRY_AFTER);
                self.check_refusal(now, id, bytes);
                self.model.get_mut(&id).unwrap().wait = None;
            }
            Reservation::Evicted => assert!(before.is_evicted),
        }
        self.check();
        reservation
    }

    pub fn progress(&mut self, now: Timestamp, id: ConnectionId, received: usize) {
        self.intake.progress(now, id, received);
        let connection = self.model.get_mut(&id).unwrap();
        connection.received += received;
        if connection.received >= PROGRESS_BYTES {
            connection.received = 0;
            connection.last_progress = now;
        }
        self.check();
    }

    /// Whether the request may be served.
    pub fn complete(&mut self, id: ConnectionId) -> bool {
        let completed = self.intake.complete(id);
        let connection = self.model.get_mut(&id).unwrap();
        assert_eq!(completed.is_err(), connection.is_evicted);
        if completed.is_ok() {
            connection.stage = Stage::Complete;
            connection.wait = None;
        }
        self.check();
        completed.is_ok()
    }

    pub fn release(&mut self, now: Timestamp, id: ConnectionId) {
        self.intake.release(now, id);
        let connection = self.model.get_mut(&id).unwrap();
        connection.stage = Stage::Idle;
        connection.bytes = 0;
        connection.wait = None;
        connection.received = 0;
        connection.last_progress = now;
        self.check();
    }

    pub fn close(&mut self, id: ConnectionId) {
        self.intake.close(id);
        self.model.remove(&id);
        self.check();
    }

    /// Closes what remains; nothing must be left of it.
    pub fn close_all(&mut self) {
        let ids: Vec<ConnectionId> = self.model.keys().copied().collect();
        for id in ids {
            self.close(id);
        }
        assert_eq!(self.intake.held_bytes(), 0);
        assert_eq!(self.intake.connections(), 0);
        assert_eq!(self.intake.waiters(), 0);
        assert!(self.intake.ready_waiters(Timestamp::MAX).is_empty());
        // All of the memory and all places are to be had again.
        let limits = self.limits;
        let now = Timestamp::from_secs(1_000_000);
        let Opened::Admitted(id) = self.open(now) else {
            panic!("a connection is refused by an idle process");
        };
        let largest = self.reserve(now, id, limits.large_bytes());
        assert_eq!(largest, Reservation::Granted);
        self.close(id);
    }

    /// Notes which waits small requests may blame on small requests.
    pub fn observe_crowding(&mut self, now: Timestamp) {
        let demand: usize = self.model.values().map(|c| c.small_demand(now)).sum();
        if demand > self.limits.small_reserve() {
            let waits = self.model.values_mut().filter_map(|c| c.wait.as_mut());
            waits.for_each(|wait| wait.is_crowded = true);
        }
    }

    /// Checks that a small request waits no longer than those that stand in its way may.
    pub fn check_small_waits(&self, now: Timestamp, step: Duration) {
        let waits = self.model.values().filter_map(|c| c.wait);
        let mut waits = waits.filter(|wait| is_small(wait.bytes) && !wait.is_crowded);
        let late = waits.find(|wait| now > wait.since + STALL_TIME + step);
        assert!(late.is_none(), "a small request waits at {now:?}: {late:?}");
    }

    fn insert(&mut self, now: Timestamp, id: ConnectionId) {
        let connection = ModelConnection {
            stage: Stage::Idle,
            bytes: 0,
            is_evicted: false,
            wait: None,
            last_progress: now,
            received: 0,
        };
        let former = self.model.insert(id, connection);
        assert!(former.is_none(), "{id} is used twice");
    }

    fn grant(&mut self, id: ConnectionId, bytes: usize) {
        let connection = self.model[&id];
        if bytes > connection.bytes {
            assert!(!connection.is_evicted);
            let order = connection.wait.map_or(u64::MAX, |wait| wait.order);
            let mut earlier = self.waits_of_class(bytes);
            let overtaken = earlier.find(|wait| wait.order < order);
            assert!(overtaken.is_none(), "{id} overtakes {overtaken:?}");
        }
        let connection = self.model.get_mut(&id).unwrap();
        connection.bytes = bytes;
        connection.wait = None;
    }

    fn wait(&mut self, now: Timestamp, id: ConnectionId, bytes: usize) {
        self.waits += 1;
        let order = self.waits;
        let connection = self.model.get_mut(&id).unwrap();
        let begun = connection.wait.get_or_insert(ModelWait {
            since: now,
            bytes,
            order,
            is_crowded: false,
        });
        if is_small(begun.bytes) != is_small(bytes) {
            begun.order = order;
        }
        begun.bytes = bytes;
        assert!(now < begun.since + MAX_WAIT, "{id} waits too long");
    }

    fn waits_of_class(&self, bytes: usize) -> impl Iterator<Item = ModelWait> {
        let waits = self.model.values().filter_map(|c| c.wait);
        waits.filter(move |wait| is_small(wait.bytes) == is_small(bytes))
    }

    /// A request is refused only if it never fits, has waited long, or too much is waited for.
    fn check_refusal(&self, now: Timestamp, id: ConnectionId, bytes: usize) {
        let wait = self.model[&id].wait;
        let never_fits = bytes > self.limits.large_bytes();
        let waited_long = wait.is_some_and(|wait| now >= wait.since + MAX_WAIT);
        let others = self.model.values().filter(|c| {
            c.wait
                .is_some_and(|wait| is_small(wait.bytes) == is_small(bytes))
        });
        let wanted: usize = others.map(|c| c.wait.unwrap().bytes - c.bytes).sum();
        let max_wanted = if is_small(bytes) {
            self.limits.small_reserve()
        } else {
            self.limits.large_bytes()
        };
        let too_many = wanted + bytes - self.model[&id].bytes > max_wanted;
        assert!(never_fits || waited_long || too_many, "{id} is refused");
    }

    fn evict_for_memory(&mut self, now: Timestamp, asker: ConnectionId, id: ConnectionId) {
        assert_ne!(asker, id, "a request evicts itself");
        let victim = self.model[&id];
        assert!(victim.is_stalled(now), "{id} is no stalled request");
        assert!(victim.bytes > 0, "{id} holds nothing");
        let mut class = self.model.iter().filter(|(other, c)| {
            let is_peer = c.bytes > 0 && is_small(c.bytes) == is_small(victim.bytes);
            is_peer && c.may_be_evicted() && c.stage == Stage::Receiving && **other != asker
        });
        let longer = class.find(|(_, c)| c.last_progress < victim.last_progress);
        assert!(longer.is_none(), "{longer:?} has stalled longer");
        self.mark_evicted(id);
    }

    fn evict_for_place(&mut self, now: Timestamp, id: ConnectionId) {
        let victim = self.model[&id];
        assert!(victim.may_be_evicted(), "{id} is served or closing");
        assert!(now >= victim.last_progress + MIN_IDLE_TIME);
        let mut others = self.model.values().filter(|c| c.may_be_evicted());
        let longer = others.find(|c| c.last_progress < victim.last_progress);
        assert!(longer.is_none(), "{longer:?} has been idle longer");
        self.mark_evicted(id);
    }

    fn mark_evicted(&mut self, id: ConnectionId) {
        let connection = self.model.get_mut(&id).unwrap();
        connection.is_evicted = true;
        connection.wait = None;
    }

    /// A connection is refused only if each place is in use, or too many are still closing.
    fn check_no_place(&self, now: Timestamp) {
        if self.model.len() == self.limits.connections {
            return;
        }
        let idle = self.model.iter().find(|(_, c)| {
            let is_long = now >= c.last_progress + MIN_IDLE_TIME;
            c.may_be_evicted() && is_long
        });
        assert!(idle.is_none(), "refused beside {idle:?}");
        assert!(self.model.len() * 2 >= self.limits.connections);
    }

    fn check(&self) {
        let held: usize = self.model.values().map(|c| c.bytes).sum();
        assert_eq!(self.intake.held_bytes(), held);
        assert!(held <= self.limits.bytes, "{held} bytes are held");
        let large = self.model.values().map(|c| c.bytes);
        let large: usize = large.filter(|bytes| !is_small(*bytes)).sum();
        assert!(large <= self.limits.large_bytes(), "{large} by large ones");
        assert_eq!(self.intake.connections(), self.model.len());
        assert!(self.model.len() <= self.limits.connections);
        let waiters = self.model.values().filter(|c| c.wait.is_some());
        assert_eq!(self.intake.waiters(), waiters.count());
    }
}
