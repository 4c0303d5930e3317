//! When transfers start and when their bytes go onto the link.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::store::link::{FairQueue, Urgency};

/// Time that an idle link may catch up on, which covers the timer's coarseness.
const BURST: Duration = Duration::from_millis(2);
/// Interactive bytes for each background byte while both wait.
const INTERACTIVE_SHARE: u64 = 15;
/// Part of the transfers and bytes in flight that is left to interactive ones: one in this many.
const INTERACTIVE_RESERVE: u64 = 2;
/// Least and most bytes granted at once.
const QUANTUM: std::ops::RangeInclusive<u64> = 4096..=256 * 1024;
/// Grants in each second of a link in full use.
const GRANTS_PER_SECOND: u64 = 200;

/// Number of a transfer within one store process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TransferId(pub u64);

/// Limits of the link and of what is in flight.
#[derive(Clone, Copy, Debug)]
pub struct PacerConfig {
    /// Speed of the link, in bytes per second.
    pub bytes_per_second: u64,
    /// Bytes of the blocks in flight.
    pub in_flight_bytes: u64,
    /// Transfers in flight.
    pub in_flight: usize,
    /// Longest predicted wait with which a transfer is accepted.
    pub max_wait: Duration,
}

/// Permission given by a [`Pacer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Start {
    /// The transfer may take memory and start.
    Transfer(TransferId),
    /// The transfer may move this many bytes.
    Bytes(TransferId, u64),
}

#[derive(Debug)]
struct Open {
    customer: Name,
    urgency: Urgency,
    bytes: u64,
    left: u64,
    started: bool,
}

#[derive(Debug, Default)]
struct Lane {
    starts: FairQueue,
    chunks: FairQueue,
    in_flight_bytes: u64,
    in_flight: usize,
}

/// Orders transfers on one link of known speed: interactive ones before background ones, customers
/// of one urgency fairly.
#[derive(Debug)]
pub struct Pacer {
    cfg: PacerConfig,
    transfers: HashMap<TransferId, Open>,
    interactive: Lane,
    background: Lane,
    /// Bytes still to be moved, by urgency and customer.
    backlog: HashMap<(Urgency, Name), u64>,
    /// When the bytes granted so far have left the link.
    free_at: Stamp,
    /// Interactive bytes granted since background ones wait.
    overtaken: u64,
}

impl Pacer {
    /// Makes a pacer with nothing in flight.
    #[must_use]
    pub fn new(cfg: PacerConfig) -> Self {
        Self {
            cfg,
            transfers: HashMap::new(),
            interactive: Lane::default(),
            background: Lane::default(),
            backlog: HashMap::new(),
            free_at: Stamp::ZERO,
            overtaken: 0,
        }
    }

    /// Most bytes granted at once.
    #[must_use]
    pub fn quantum(&self) -> u64 {
        let even = self.cfg.bytes_per_second / GRANTS_PER_SECOND;
        even.clamp(*QUANTUM.start(), *QUANTUM.end())
    }

    /// Speed of the link, in bytes per second.
    #[must_use]
    pub fn bytes_per_second(&self) -> u64 {
        self.cfg.bytes_per_second
    }

    /// Registers a transfer, which waits for its [`Start::Transfer`].
    ///
    /// # Errors
    /// The predicted wait, when it is longer than the limit.
    ///
    /// # Panics
    /// When the number is in use, which would be a defect.
    pub fn open(
        &mut self,
        now: Stamp,
        id: TransferId,
        customer: &Name,
        urgency: Urgency,
        bytes: u64,
    ) -> Result<(), Duration> {
        let wait = self.time_of(self.queue_bytes(now, customer, urgency, bytes));
        if wait > self.cfg.max_wait {
            return Err(wait);
        }
        let open = Open {
            customer: customer.clone(),
            urgency,
            bytes,
            left: bytes,
            started: false,
        };
        let old = self.transfers.insert(id, open);
        assert!(old.is_none(), "a transfer's number is used twice");
        *self.backlog.entry((urgency, customer.clone())).or_default() += bytes;
        self.lane(urgency).starts.push(customer, id, bytes);
        Ok(())
    }

    /// Asks for the next bytes of a started transfer, at most a quantum of which is granted.
    ///
    /// # Panics
    /// When the transfer has not started, which would be a defect.
    pub fn ask(&mut self, id: TransferId, bytes: u64) {
        let bytes = bytes.min(self.quantum());
        let Some(open) = self.transfers.get(&id) else {
            return;
        };
        assert!(open.started, "bytes asked for before the start");
        let (customer, urgency) = (open.customer.clone(), open.urgency);
        self.lane(urgency).chunks.push(&customer, id, bytes);
    }

    /// Ends a transfer, finished or not.
    pub fn close(&mut self, id: TransferId) {
        let Some(open) = self.transfers.remove(&id) else {
            return;
        };
        self.reduce_backlog(open.urgency, &open.customer, open.left);
        let lane = self.lane(open.urgency);
        if open.started {
            lane.in_flight_bytes -= open.bytes;
            lane.in_flight -= 1;
            lane.chunks.remove(&open.customer, id);
        } else {
            lane.starts.remove(&open.customer, id);
        }
    }

    /// Appends the permissions that are due.
    pub fn poll(&mut self, now: Stamp, grants: &mut Vec<Start>) {
        for urgency in [Urgency::Interactive, Urgency::Background] {
            while let Some(id) = self.next_start(urgency) {
                grants.push(Start::Transfer(id));
            }
        }
        while self.free_at <= now
            && let Some((id, bytes)) = self.next_chunk()
        {
            self.free_at = self.free_at.max(now.saturating_sub(BURST)) + self.time_of(bytes);
            grants.push(Start::Bytes(id, bytes));
        }
    }

    /// When [`Pacer::poll`] has something to do next, if bytes wait.
    #[must_use]
    pub fn next_at(&self) -> Option<Stamp> {
        let waits = !self.interactive.chunks.is_empty() || !self.background.chunks.is_empty();
        waits.then_some(self.free_at)
    }

    /// Bytes that a new transfer of `bytes` bytes waits behind: under fair sharing another customer
    /// overtakes it with no more than it has itself.
    #[must_use]
    pub fn queue_bytes(&self, now: Stamp, customer: &str, urgency: Urgency, bytes: u64) -> u64 {
        let mine = |(of, name): &(Urgency, Name)| *of == urgency && &**name == customer;
        let own: u64 = self
            .backlog
            .iter()
            .filter(|(k, _)| mine(k))
            .map(|(_, b)| b)
            .sum();
        let fair = own.saturating_add(bytes);
        let others = self.backlog.iter().map(|(key, left)| match key.0 {
            _ if mine(key) => 0,
            of if of == urgency => fair.min(*left),
            Urgency::Interactive => *left,
            Urgency::Background => 0,
        });
        let owed = self.bytes_in(self.free_at.saturating_sub(now));
        own.saturating_add(others.sum::<u64>()).saturating_add(owed)
    }

    /// Transfers known, waiting ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.transfers.len()
    }

    /// Tells whether no transfer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.transfers.is_empty()
    }

    fn next_start(&mut self, urgency: Urgency) -> Option<TransferId> {
        let lane = self.lane_ref(urgency);
        let (_, bytes) = lane.starts.peek()?;
        let alone = lane.in_flight == 0;
        if !alone && !self.has_room(urgency, bytes) {
            return None;
        }
        let lane = self.lane(urgency);
        let (id, bytes) = lane.starts.pop()?;
        lane.in_flight_bytes += bytes;
        lane.in_flight += 1;
        let open = self.transfers.get_mut(&id);
        open.expect("a waiting transfer is open").started = true;
        Some(id)
    }

    fn has_room(&self, urgency: Urgency, bytes: u64) -> bool {
        let lanes = [&self.interactive, &self.background];
        let used_bytes: u64 = lanes.iter().map(|l| l.in_flight_bytes).sum();
        let used: usize = lanes.iter().map(|l| l.in_flight).sum();
        let all = used_bytes + bytes <= self.cfg.in_flight_bytes && used < self.cfg.in_flight;
        let background = &self.background;
        let reserve = urgency == Urgency::Interactive
            || (background.in_flight_bytes + bytes
                <= self.cfg.in_flight_bytes / INTERACTIVE_RESERVE
                && background.in_flight as u64 <= self.cfg.in_flight as u64 / INTERACTIVE_RESERVE);
        all && reserve
    }

    fn next_chunk(&mut self) -> Option<(TransferId, u64)> {
        let background_waits = !self.background.chunks.is_empty();
        let due = self.overtaken >= INTERACTIVE_SHARE * self.quantum();
        let first = if background_waits && (due || self.interactive.chunks.is_empty()) {
            Urgency::Background
        } else {
            Urgency::Interactive
        };
        let (id, bytes) = self.lane(first).chunks.pop()?;
        self.overtaken = match first {
            Urgency::Interactive if background_waits => self.overtaken + bytes,
            _ => 0,
        };
        let open = self.transfers.get_mut(&id);
        let open = open.expect("a waiting transfer is open");
        let moved = bytes.min(open.left);
        open.left -= moved;
        let (urgency, customer) = (open.urgency, open.customer.clone());
        self.reduce_backlog(urgency, &customer, moved);
        Some((id, bytes))
    }

    fn reduce_backlog(&mut self, urgency: Urgency, customer: &Name, bytes: u64) {
        let key = (urgency, customer.clone());
        let Some(left) = self.backlog.get_mut(&key) else {
            assert!(bytes == 0, "bytes moved beyond the backlog");
            return;
        };
        *left -= bytes;
        if *left == 0 {
            self.backlog.remove(&key);
        }
    }

    fn time_of(&self, bytes: u64) -> Duration {
        let nanos = u128::from(bytes) * 1_000_000_000 / u128::from(self.cfg.bytes_per_second);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    fn bytes_in(&self, time: Duration) -> u64 {
        let bytes = time.as_nanos() * u128::from(self.cfg.bytes_per_second) / 1_000_000_000;
        u64::try_from(bytes).unwrap_or(u64::MAX)
    }

    fn lane(&mut self, urgency: Urgency) -> &mut Lane {
        match urgency {
            Urgency::Interactive => &mut self.interactive,
            Urgency::Background => &mut self.background,
        }
    }

    fn lane_ref(&self, urgency: Urgency) -> &Lane {
        match urgency {
            Urgency::Interactive => &self.interactive,
            Urgency::Background => &self.background,
        }
    }
}
