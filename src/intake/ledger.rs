//! Sums and orders over all connections.

use std::collections::BTreeSet;

use crate::intake::connection::Connection;
use crate::intake::room_request::RoomRequest;
use crate::intake::size_class::SizeClass;
use crate::intake::size_share::SizeShare;
use crate::intake::{ConnectionId, IntakeLimits, STALL_TIME};
use crate::prelude::*;

/// What all connections hold and wait for.
#[derive(Debug)]
pub(crate) struct Ledger {
    max_bytes: usize,
    small: SizeShare,
    large: SizeShare,
    /// Connections that may be evicted for their place, those without progress longest first.
    by_progress: BTreeSet<(Timestamp, ConnectionId)>,
    closing_connections: usize,
}

impl Ledger {
    pub(crate) fn new(limits: IntakeLimits) -> Self {
        let large_bytes = limits.large_bytes();
        Self {
            max_bytes: limits.bytes,
            small: SizeShare::new(limits.small_bytes(), limits.small_reserve()),
            large: SizeShare::new(large_bytes, large_bytes),
            by_progress: BTreeSet::new(),
            closing_connections: 0,
        }
    }

    /// Includes a connection.
    pub(crate) fn add(&mut self, id: ConnectionId, connection: &Connection) {
        self.closing_connections += usize::from(connection.is_evicted);
        if connection.is_quiet() {
            self.by_progress.insert((connection.quiet_since(), id));
        }
        let share = self.share_mut(connection.class());
        share.add_holder(id, connection);
        if let Some(wait) = &connection.wait {
            self.share_mut(wait.class).add_wait(id, wait);
        }
    }

    /// Takes a connection out again, which has not changed since it was included.
    pub(crate) fn remove(&mut self, id: ConnectionId, connection: &Connection) {
        self.closing_connections -= usize::from(connection.is_evicted);
        self.by_progress.remove(&(connection.quiet_since(), id));
        let share = self.share_mut(connection.class());
        share.remove_holder(id, connection);
        if let Some(wait) = &connection.wait {
            self.share_mut(wait.class).remove_wait(wait);
        }
    }

    pub(crate) fn held_bytes(&self) -> usize {
        self.small.held_bytes() + self.large.held_bytes()
    }

    /// Evicted connections that are not closed yet.
    pub(crate) fn closing_connections(&self) -> usize {
        self.closing_connections
    }

    /// The connection without progress longest, if that has been so since `since`.
    pub(crate) fn quietest_since(&self, since: Option<Timestamp>) -> Option<ConnectionId> {
        let (last_progress, id) = *self.by_progress.first()?;
        (last_progress <= since?).then_some(id)
    }

    pub(crate) fn waiters(&self) -> usize {
        self.small.waiters() + self.large.waiters()
    }

    /// The first waiter of each class, the small one first.
    pub(crate) fn first_waiters(&self) -> impl Iterator<Item = ConnectionId> {
        let shares = [&self.small, &self.large];
        shares.into_iter().filter_map(SizeShare::first_waiter)
    }

    /// Whether a request fits when no other one holds anything.
    pub(crate) fn can_ever_hold(&self, req: RoomRequest) -> bool {
        req.bytes <= self.share(req.class()).max_bytes()
    }

    /// Whether no other request of its class waits before this one.
    pub(crate) fn is_next(&self, req: RoomRequest) -> bool {
        let first = self.share(req.class()).first_waiter();
        first.is_none_or(|first| first == req.id)
    }

    /// Whether a request may wait with this ticket.
    pub(crate) fn may_wait(&self, req: RoomRequest, ticket: u64) -> bool {
        self.share(req.class()).may_wait(req, ticket)
    }

    /// Whether there is room for a request now.
    pub(crate) fn has_room(&self, req: RoomRequest) -> bool {
        let share = self.share(req.class());
        let in_class = share.held_bytes() + req.bytes - req.held_in_class();
        let in_all = self.held_bytes() + req.bytes - req.held;
        in_class <= share.max_bytes() && in_all + self.kept_for_small(req) <= self.max_bytes
    }

    /// The connection to evict next for a request, if it is the first of its class and lacks room
    /// even after all evicted connections have closed.
    pub(crate) fn evictable_for(&self, now: Timestamp, req: RoomRequest) -> Option<ConnectionId> {
        if !self.is_next(req) {
            return None;
        }
        let (last_progress, id) = self.next_to_evict(req)?;
        (last_progress + STALL_TIME <= now).then_some(id)
    }

    /// Whether a connection can be evicted for a request now.
    pub(crate) fn can_evict_for(&self, now: Timestamp, req: RoomRequest) -> bool {
        self.evictable_for(now, req).is_some()
    }

    /// Time until a connection may be evicted for a request, if it is the first of its class and one
    /// holds room that it lacks.
    pub(crate) fn next_stall(&self, now: Timestamp, req: RoomRequest) -> Option<Duration> {
        if !self.is_next(req) {
            return None;
        }
        let (last_progress, _) = self.next_to_evict(req)?;
        Some((last_progress + STALL_TIME).saturating_sub(now))
    }

    /// The connection without progress longest among those that hold room that a request lacks.
    fn next_to_evict(&self, req: RoomRequest) -> Option<(Timestamp, ConnectionId)> {
        let share = self.share(req.class());
        let in_class = share.staying_bytes() + req.bytes - req.held_in_class();
        if in_class > share.max_bytes() {
            return share.most_stalled(req.id);
        }
        let staying = self.small.staying_bytes() + self.large.staying_bytes();
        let in_all = staying + req.bytes - req.held;
        if in_all + self.kept_for_small(req) <= self.max_bytes {
            return None;
        }
        let holders = [&self.small, &self.large];
        let holders = holders.iter().filter_map(|s| s.most_stalled(req.id));
        holders.min()
    }

    /// Bytes that small requests wait for, which go before a large one.
    fn kept_for_small(&self, req: RoomRequest) -> usize {
        match req.class() {
            SizeClass::Small => 0,
            SizeClass::Large => self.small.waiting_bytes(),
        }
    }

    fn share(&self, class: SizeClass) -> &SizeShare {
        match class {
            SizeClass::Small => &self.small,
            SizeClass::Large => &self.large,
        }
    }

    fn share_mut(&mut self, class: SizeClass) -> &mut SizeShare {
        match class {
            SizeClass::Small => &mut self.small,
            SizeClass::Large => &mut self.large,
        }
    }
}
