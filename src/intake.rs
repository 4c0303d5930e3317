//! Bounds on the memory and the connections that callers hold in one process: a state machine
//! without input or output.
//!
//! Each connection states how many bytes the request on it occupies, before it allocates them. The
//! sum of these bytes never passes the bound: a connection that is evicted counts until its buffers
//! are freed, and whoever needs its room waits meanwhile. Only requests that are still being
//! received and have made no progress for [`STALL_TIME`] are evicted, those without progress longest
//! first.
//!
//! Requests of at most [`SMALL_BYTES`] have an eighth of the bytes to themselves and may use half of
//! them; larger ones may use all but that eighth. Within each of the two classes, room is given in
//! the order in which it was asked for.

mod connection;
mod connection_id;
mod counters;
mod evicted;
mod ledger;
mod limits;
mod opened;
mod reservation;
mod room_request;
mod size_class;
mod size_share;
mod wait;

use std::collections::HashMap;

use connection::{Connection, Stage};
use ledger::Ledger;
use room_request::RoomRequest;
use wait::Wait;

use crate::prelude::*;

pub use connection_id::ConnectionId;
pub use counters::{IntakeCounters, LimitCounters};
pub use evicted::Evicted;
pub use limits::{
    CONNECTION_BYTES, DEFAULT_MAX_DESCRIPTORS, DEFAULT_MEMORY_BYTES, IntakeLimits, SMALL_BYTES,
};
pub use opened::Opened;
pub use reservation::Reservation;

/// Time without progress after which a request that is being received may be evicted for its memory.
pub const STALL_TIME: Duration = Duration::from_millis(250);
/// Time without progress after which a connection may be evicted for its place. Longer than a
/// caller needs to send a request on a connection that it has just opened.
pub const MIN_IDLE_TIME: Duration = Duration::from_millis(500);
/// Additional time for a caller to go on reading its response, which its target may have run.
pub const READ_GRACE: Duration = Duration::from_millis(1_750);
/// Bytes that count as progress. Fewer do not, so that a caller cannot keep its memory by sending
/// single bytes.
pub const PROGRESS_BYTES: usize = 4 * 1024;
/// Time after which a request that waits for memory is refused, over all its waits.
pub const MAX_WAIT: Duration = Duration::from_secs(1);
/// Time after which the caller of a request that never fits is asked to return, the longest of all.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Time after which a caller that waited in vain is asked to return.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Shortest time until a waiting request asks again.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(1);

/// Connections of callers, and the memory that their requests hold.
///
/// Each operation takes logarithmic time. Identifiers of closed connections are treated like those
/// of evicted ones.
#[derive(Debug)]
pub struct Intake {
    limits: IntakeLimits,
    connections: HashMap<ConnectionId, Connection>,
    ledger: Ledger,
    /// Connections opened so far.
    opened: u64,
    /// Waits begun so far.
    waits: u64,
    counters: IntakeCounters,
}

impl Intake {
    /// Makes the state of a process without connections.
    #[must_use]
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            connections: HashMap::new(),
            ledger: Ledger::new(limits),
            opened: 0,
            waits: 0,
            counters: IntakeCounters::default(),
        }
    }

    /// Decides on a new connection. While all places are taken, the connection without progress
    /// longest makes way; none that is served or had progress within [`MIN_IDLE_TIME`].
    pub fn open(&mut self, now: Timestamp) -> Opened {
        let staying = self.connections.len() - self.ledger.closing_connections();
        let has_place = self.connections.len() < self.limits.connections;
        if has_place && staying < self.limits.staying_connections() {
            return Opened::Admitted(self.admit(now));
        }
        let quietest = self.ledger.quietest_since(now.checked_sub(MIN_IDLE_TIME));
        let Some(evicted) = quietest.filter(|_| has_place) else {
            self.counters.connections.refused += 1;
            return Opened::Refused;
        };
        self.counters.connections.evicted += 1;
        self.evict(evicted);
        let id = self.admit(now);
        Opened::AdmittedInPlaceOf { id, evicted }
    }

    /// Sets the bytes that the request on a connection occupies, head and body together, by capacity.
    /// Shrinking is always granted. A connection that asks without a request begins one.
    pub fn reserve(&mut self, now: Timestamp, id: ConnectionId, bytes: usize) -> Reservation {
        let Some(connection) = self.connections.get(&id) else {
            return Reservation::Evicted;
        };
        let held = connection.bytes;
        if bytes > held && connection.is_evicted {
            return Reservation::Evicted;
        }
        if bytes > 0 {
            self.update(id, |connection| connection.begin(now));
        }
        if bytes <= held {
            return self.grant(now, id, bytes);
        }
        let req = RoomRequest { id, held, bytes };
        if !self.ledger.can_ever_hold(req) {
            return self.refuse(id, MAX_RETRY_AFTER);
        }
        if self.ledger.is_next(req) && self.ledger.has_room(req) {
            return self.grant(now, id, bytes);
        }
        self.wait(now, req)
    }

    /// Ends the wait of a connection that asks no more for the bytes that it waits for.
    pub fn stop_waiting(&mut self, now: Timestamp, id: ConnectionId) {
        self.update(id, |connection| connection.end_wait(now));
    }

    /// Records bytes that arrived for a request that is being received.
    pub fn progress(&mut self, now: Timestamp, id: ConnectionId, received_bytes: usize) {
        self.update(id, |connection| connection.receive(now, received_bytes));
    }

    /// Records that a request has been received whole. It keeps its bytes, and cannot be evicted,
    /// until it is released.
    ///
    /// # Errors
    ///
    /// The connection has been evicted; the request must not be served.
    pub fn complete(&mut self, id: ConnectionId) -> Result<(), Evicted> {
        let connection = self.connections.get(&id);
        if connection.is_none_or(|connection| connection.is_evicted) {
            return Err(Evicted);
        }
        self.update(id, |connection| {
            connection.stage = Stage::Complete;
            connection.wait = None;
            connection.waited = Duration::ZERO;
        });
        Ok(())
    }

    /// Records that the caller takes no more bytes of its response for now, or has just taken some.
    pub fn stall_response(&mut self, now: Timestamp, id: ConnectionId) {
        self.update(id, |connection| connection.stall_response(now));
    }

    /// Records that the caller has taken all bytes of its response so far.
    pub fn resume_response(&mut self, id: ConnectionId) {
        self.update(id, Connection::resume_response);
    }

    /// Records that a request has been answered: its bytes are free and its connection is idle.
    pub fn release(&mut self, now: Timestamp, id: ConnectionId) {
        self.update(id, |connection| connection.become_idle(now));
    }

    /// Records that a connection is closed and holds nothing any more.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.ledger.remove(id, &connection);
        }
    }

    /// Connections whose request waits for memory and should ask again at once, since it is there or
    /// can be made now. Worth a call whenever bytes were given back or a wait has ended.
    #[must_use]
    pub fn ready_waiters(&self, now: Timestamp) -> SmallVec<[ConnectionId; 2]> {
        let first = self.ledger.first_waiters();
        first.filter(|id| self.is_ready(now, *id)).collect()
    }

    /// Bytes that all requests hold.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.ledger.held_bytes()
    }

    /// Open connections, evicted ones included.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Requests that wait for memory.
    #[must_use]
    pub fn waiters(&self) -> usize {
        self.ledger.waiters()
    }

    /// What was refused and evicted so far.
    #[must_use]
    pub fn counters(&self) -> IntakeCounters {
        self.counters
    }

    /// Bounds of the process.
    #[must_use]
    pub fn limits(&self) -> IntakeLimits {
        self.limits
    }

    fn admit(&mut self, now: Timestamp) -> ConnectionId {
        let id = ConnectionId::new(self.opened);
        self.opened += 1;
        let connection = Connection::new(now);
        self.ledger.add(id, &connection);
        self.connections.insert(id, connection);
        id
    }

    fn grant(&mut self, now: Timestamp, id: ConnectionId, bytes: usize) -> Reservation {
        self.update(id, |connection| {
            connection.bytes = bytes;
            connection.end_wait(now);
        });
        Reservation::Granted
    }

    fn refuse(&mut self, id: ConnectionId, retry_after: Duration) -> Reservation {
        self.update(id, |connection| connection.wait = None);
        self.counters.memory.refused += 1;
        Reservation::Refused { retry_after }
    }

    /// Lets a request wait, unless it has waited long or too much is waited for; the first of its
    /// class evicts those that are stalled.
    fn wait(&mut self, now: Timestamp, req: RoomRequest) -> Reservation {
        let wait = self.wait_of(now, req);
        let waited = now.saturating_sub(wait.since);
        if waited >= MAX_WAIT {
            return self.refuse(req.id, DEFAULT_RETRY_AFTER);
        }
        if !self.ledger.may_wait(req, wait.ticket) {
            // Those that wait have been served or refused by then.
            return self.refuse(req.id, MAX_WAIT);
        }
        self.update(req.id, |connection| connection.wait = Some(wait));
        let evicted = self.make_room(now, req);
        let ask_again = self.ledger.next_stall(now, req).unwrap_or(STALL_TIME);
        let ask_again = ask_again.min(MAX_WAIT.saturating_sub(waited));
        Reservation::Wait {
            evicted,
            ask_again: ask_again.max(MIN_ASK_INTERVAL),
        }
    }

    /// The wait of a request; one that asked before keeps its place.
    fn wait_of(&mut self, now: Timestamp, req: RoomRequest) -> Wait {
        let connection = self.connections.get(&req.id);
        let former = connection.and_then(|c| c.wait);
        let waited = connection.map_or(Duration::ZERO, |c| c.waited);
        let since = former.map_or(now.saturating_sub(waited), |wait| wait.since);
        let place = former.filter(|wait| wait.class == req.class());
        let ticket = place.map_or(self.waits, |wait| wait.ticket);
        self.waits = self.waits.max(ticket + 1);
        Wait {
            ticket,
            since,
            class: req.class(),
            bytes: req.bytes - req.held,
            total_bytes: req.bytes,
        }
    }

    fn make_room(&mut self, now: Timestamp, req: RoomRequest) -> SmallVec<[ConnectionId; 4]> {
        let mut evicted = SmallVec::new();
        while let Some(id) = self.ledger.evictable_for(now, req) {
            self.counters.memory.evicted += 1;
            self.evict(id);
            evicted.push(id);
        }
        evicted
    }

    fn evict(&mut self, id: ConnectionId) {
        self.update(id, |connection| {
            connection.is_evicted = true;
            connection.wait = None;
        });
    }

    fn is_ready(&self, now: Timestamp, id: ConnectionId) -> bool {
        let connection = self.connections.get(&id);
        let req = connection.and_then(|connection| connection.room_request(id));
        req.is_some_and(|req| self.ledger.has_room(req) || self.ledger.can_evict_for(now, req))
    }

    /// Changes a connection and what the ledger says of it.
    fn update(&mut self, id: ConnectionId, change: impl FnOnce(&mut Connection)) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.ledger.remove(id, connection);
            change(connection);
            self.ledger.add(id, connection);
        }
    }
}
