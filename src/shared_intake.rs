//! The memory and the connections of callers as tasks share them.

mod permit;

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use async_channel::{Receiver, Sender};

use crate::intake::{ConnectionId, Intake, IntakeCounters, IntakeLimits, Opened, Reservation};
use crate::latch::Latch;
use crate::prelude::*;

pub use permit::{IntakePermit, NoRoom};

/// Bounds on what the callers of one process hold, shared by the tasks of their connections.
#[derive(Debug)]
pub struct SharedIntake {
    started: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    intake: Intake,
    /// Set when a connection is evicted.
    evicted: HashMap<ConnectionId, Latch>,
    /// Wakes the connections that wait for memory.
    waiting: HashMap<ConnectionId, Sender<()>>,
}

/// Answer to a connection that asks for memory.
enum Answer {
    /// It may occupy it.
    Granted,
    /// There is none for it.
    NoRoom(NoRoom),
    /// It asks again after a time, or once it is woken.
    Wait {
        ask_again: Duration,
        woken: Receiver<()>,
    },
}

/// What callers hold now, and what was refused so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IntakeUsage {
    /// Open connections.
    pub connections: usize,
    /// Bytes that requests hold.
    pub bytes: usize,
    /// What was refused and evicted.
    pub counters: IntakeCounters,
}

impl SharedIntake {
    /// Makes the state of a process without connections.
    #[must_use]
    pub fn new(limits: IntakeLimits) -> Arc<Self> {
        let state = State {
            intake: Intake::new(limits),
            evicted: HashMap::new(),
            waiting: HashMap::new(),
        };
        Arc::new(Self {
            started: Instant::now(),
            state: Mutex::new(state),
        })
    }

    /// Admits a connection, in place of one that is idle if need be; `None` if it must be closed.
    pub fn open(self: &Arc<Self>) -> Option<IntakePermit> {
        let now = self.now();
        let mut state = self.lock();
        let id = match state.intake.open(now) {
            Opened::Admitted(id) => id,
            Opened::AdmittedInPlaceOf { id, evicted } => {
                state.signal_evicted(evicted);
                id
            }
            Opened::Refused => return None,
        };
        let evicted = Latch::default();
        state.evicted.insert(id, evicted.clone());
        Some(IntakePermit::new(id, evicted, self.clone()))
    }

    /// What callers hold now, and what was refused so far.
    #[must_use]
    pub fn usage(&self) -> IntakeUsage {
        let state = self.lock();
        IntakeUsage {
            connections: state.intake.connections(),
            bytes: state.intake.held_bytes(),
            counters: state.intake.counters(),
        }
    }

    /// Bounds of the process.
    #[must_use]
    pub fn limits(&self) -> IntakeLimits {
        self.lock().intake.limits()
    }

    fn now(&self) -> Timestamp {
        self.started.elapsed()
    }

    /// Changes the state and wakes the connections that need not wait any more.
    fn update<T>(&self, change: impl FnOnce(&mut State, Timestamp) -> T) -> T {
        let now = self.now();
        let mut state = self.lock();
        let result = change(&mut state, now);
        state.wake_ready(now);
        result
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn ask(&mut self, now: Timestamp, id: ConnectionId, bytes: usize) -> Answer {
        self.waiting.remove(&id);
        match self.intake.reserve(now, id, bytes) {
            Reservation::Granted => Answer::Granted,
            Reservation::Refused { retry_after } => Answer::NoRoom(NoRoom::Refused { retry_after }),
            Reservation::Evicted => Answer::NoRoom(NoRoom::Evicted),
            Reservation::Wait { evicted, ask_again } => {
                for id in evicted {
                    self.signal_evicted(id);
                }
                let (wake, woken) = async_channel::bounded(1);
                self.waiting.insert(id, wake);
                Answer::Wait { ask_again, woken }
            }
        }
    }

    fn stop_waiting(&mut self, now: Timestamp, id: ConnectionId) {
        if self.waiting.remove(&id).is_some() {
            self.intake.stop_waiting(now, id);
        }
    }

    fn close(&mut self, id: ConnectionId) {
        self.intake.close(id);
        self.evicted.remove(&id);
        self.waiting.remove(&id);
    }

    fn signal_evicted(&self, id: ConnectionId) {
        if let Some(latch) = self.evicted.get(&id) {
            latch.set();
        }
    }

    fn wake_ready(&self, now: Timestamp) {
        if self.waiting.is_empty() {
            return;
        }
        for id in self.intake.ready_waiters(now) {
            if let Some(wake) = self.waiting.get(&id) {
                let _ = wake.try_send(());
            }
        }
    }
}
