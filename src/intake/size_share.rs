//! Memory of one class of requests.

use std::collections::{BTreeMap, BTreeSet};

use crate::intake::ConnectionId;
use crate::intake::connection::Connection;
use crate::intake::room_request::RoomRequest;
use crate::intake::wait::Wait;
use crate::prelude::*;

/// What the requests of one class hold and wait for.
#[derive(Debug)]
pub(crate) struct SizeShare {
    /// Most bytes that they may hold.
    max_bytes: usize,
    /// Most bytes that they may wait for; more would not be freed in time.
    max_waiting_bytes: usize,
    held_bytes: usize,
    /// Part of the held bytes that evicted connections still hold.
    closing_bytes: usize,
    waiting_bytes: usize,
    /// Requests that may be evicted, those without progress longest first.
    by_progress: BTreeSet<(Timestamp, ConnectionId)>,
    /// Requests that wait, by ticket.
    queue: BTreeMap<u64, ConnectionId>,
}

impl SizeShare {
    pub(crate) fn new(max_bytes: usize, max_waiting_bytes: usize) -> Self {
        Self {
            max_bytes,
            max_waiting_bytes,
            held_bytes: 0,
            closing_bytes: 0,
            waiting_bytes: 0,
            by_progress: BTreeSet::new(),
            queue: BTreeMap::new(),
        }
    }

    pub(crate) fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Bytes that are held once the evicted connections have closed.
    pub(crate) fn staying_bytes(&self) -> usize {
        self.held_bytes - self.closing_bytes
    }

    pub(crate) fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    pub(crate) fn waiters(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn first_waiter(&self) -> Option<ConnectionId> {
        self.queue.first_key_value().map(|(_, id)| *id)
    }

    /// Whether a request may wait with this ticket: it already does, or not too much is waited for.
    pub(crate) fn may_wait(&self, req: RoomRequest, ticket: u64) -> bool {
        let waiting_bytes = self.waiting_bytes + req.bytes - req.held;
        self.queue.contains_key(&ticket) || waiting_bytes <= self.max_waiting_bytes
    }

    /// The request without progress longest, other than this one.
    pub(crate) fn most_stalled(&self, except: ConnectionId) -> Option<(Timestamp, ConnectionId)> {
        let mut others = self.by_progress.iter().filter(|(_, id)| *id != except);
        others.next().copied()
    }

    pub(crate) fn add_holder(&mut self, id: ConnectionId, connection: &Connection) {
        self.held_bytes += connection.bytes;
        if connection.is_evicted {
            self.closing_bytes += connection.bytes;
        }
        if connection.is_evictable_holder() {
            self.by_progress.insert((connection.quiet_since(), id));
        }
    }

    pub(crate) fn remove_holder(&mut self, id: ConnectionId, connection: &Connection) {
        self.held_bytes -= connection.bytes;
        if connection.is_evicted {
            self.closing_bytes -= connection.bytes;
        }
        self.by_progress.remove(&(connection.quiet_since(), id));
    }

    pub(crate) fn add_wait(&mut self, id: ConnectionId, wait: &Wait) {
        self.waiting_bytes += wait.bytes;
        self.queue.insert(wait.ticket, id);
    }

    pub(crate) fn remove_wait(&mut self, wait: &Wait) {
        self.waiting_bytes -= wait.bytes;
        self.queue.remove(&wait.ticket);
    }
}
