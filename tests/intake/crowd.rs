//! Random crowds of callers before one intake.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use guavahold::intake::{ConnectionId, IntakeLimits, Opened, Reservation};
use guavahold::prelude::*;

use crate::checked_intake::{CheckedIntake, Stage};

/// Time between two looks at all callers.
pub const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 250;

/// How a caller sends its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Conduct {
    /// It sends all of it in a few steps.
    Prompt,
    /// It sends up to shortly before its end.
    Stalling,
    /// It sends one byte each 100 ms.
    Trickling,
    /// It asks for more than there is.
    TooLarge,
    /// It sends nothing.
    Silent,
}

/// A caller's connection and the request on it.
#[derive(Clone, Debug)]
struct Caller {
    conduct: Conduct,
    /// Bytes of its requests.
    bytes: usize,
    /// Whether its length is not announced, so that the buffer doubles while it arrives.
    is_chunked: bool,
    received: usize,
    /// When it does something next.
    next: Timestamp,
    /// Requests that it still sends.
    requests: u32,
}

/// Callers that come and go at random.
pub struct Crowd {
    rng: Rng,
    checked: CheckedIntake,
    now: Timestamp,
    callers: BTreeMap<ConnectionId, Caller>,
    /// Connections to close at the next step.
    closing: BTreeSet<ConnectionId>,
    /// Connections opened in each step, of a hundred tries.
    arrivals: u32,
    /// Part of the callers that behave, in percent.
    prompt_percent: u32,
    max_bytes: usize,
    granted: u64,
    waits: u64,
}

/// What happened in a play.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    pub granted: u64,
    pub waits: u64,
    pub evictions: u64,
    pub refusals: u64,
}

impl Crowd {
    pub fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let limits = IntakeLimits {
            bytes: 1024 * 1024 * rng.usize(1..=48),
            connections: rng.usize(32..400),
        };
        let max_bytes = (limits.bytes / rng.usize(2..=32)).max(100_000);
        Self {
            checked: CheckedIntake::new(limits),
            now: Duration::from_secs(5),
            callers: BTreeMap::new(),
            closing: BTreeSet::new(),
            arrivals: rng.u32(5..300),
            prompt_percent: rng.u32(0..=100),
            max_bytes,
            granted: 0,
            waits: 0,
            rng,
        }
    }

    /// Plays the crowd, then lets all holders end, and closes the rest.
    pub fn play(mut self) -> Summary {
        for _ in 0..STEPS {
            self.step();
        }
        let summary = Summary {
            granted: self.granted,
            waits: self.waits,
            evictions: self.checked.intake.counters().evictions(),
            refusals: self.checked.intake.counters().refusals(),
        };
        self.end_holders();
        self.checked.close_all();
        summary
    }

    fn step(&mut self) {
        self.now += STEP;
        for id in std::mem::take(&mut self.closing) {
            self.close(id);
        }
        for _ in 0..self.arrivals.div_ceil(100) {
            if self.rng.u32(0..100) < self.arrivals.min(100) {
                self.open();
            }
        }
        let due: Vec<ConnectionId> = self.callers.keys().copied().collect();
        for id in due {
            self.act(id);
        }
        self.wake_waiters();
        self.checked.observe_crowding(self.now);
        self.checked.check_small_waits(self.now, STEP);
    }

    fn open(&mut self) {
        let id = match self.checked.open(self.now) {
            Opened::Admitted(id) => id,
            Opened::AdmittedInPlaceOf { id, evicted } => {
                self.closing.insert(evicted);
                id
            }
            Opened::Refused => return,
        };
        let conduct = self.conduct();
        let caller = Caller {
            conduct,
            bytes: self.request_bytes(),
            is_chunked: self.rng.bool(),
            received: 0,
            next: self.now + STEP * self.rng.u32(0..20),
            requests: self.rng.u32(1..20),
        };
        self.callers.insert(id, caller);
    }

    fn conduct(&mut self) -> Conduct {
        if self.rng.u32(0..100) < self.prompt_percent {
            return Conduct::Prompt;
        }
        match self.rng.u32(0..10) {
            0..6 => Conduct::Stalling,
            6..8 => Conduct::Trickling,
            8 => Conduct::TooLarge,
            _ => Conduct::Silent,
        }
    }

    fn request_bytes(&mut self) -> usize {
        match self.rng.u32(0..10) {
            0..6 => self.rng.usize(100..65_536),
            6..9 => self.rng.usize(100..self.max_bytes),
            _ => self.max_bytes,
        }
    }

    fn act(&mut self, id: ConnectionId) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        if self.closing.contains(&id) || caller.next > self.now {
            return;
        }
        if self.rng.u32(0..500) == 0 {
            return self.close(id);
        }
        if caller.conduct == Conduct::Silent {
            return;
        }
        match self.checked.model[&id].stage {
            Stage::Complete => self.answer(id),
            Stage::Idle | Stage::Receiving => self.send(id),
        }
    }

    /// Ends the request of a caller, which then sends its next one or closes.
    fn answer(&mut self, id: ConnectionId) {
        self.checked.release(self.now, id);
        let caller = self.callers.get_mut(&id).unwrap();
        caller.received = 0;
        caller.requests -= 1;
        caller.next = self.now + STEP * self.rng.u32(0..60);
        if caller.requests == 0 {
            self.close(id);
        }
    }

    /// Reserves what a caller's next bytes need, and receives them.
    fn send(&mut self, id: ConnectionId) {
        let caller = self.callers[&id].clone();
        let arriving = self.arriving(&caller);
        let received = (caller.received + arriving).min(caller.bytes);
        let needed = match caller.conduct {
            Conduct::TooLarge => self.checked.limits.bytes + 1,
            _ if caller.is_chunked => received.next_power_of_two().max(8 * 1024),
            _ => caller.bytes,
        };
        if self.reserve(id, needed) {
            let caller = self.callers.get_mut(&id).unwrap();
            caller.received = received;
            self.receive(id, arriving);
        }
    }

    fn arriving(&mut self, caller: &Caller) -> usize {
        let left = caller.bytes - caller.received;
        match caller.conduct {
            Conduct::Prompt => (caller.bytes / 3 + 1).min(left),
            Conduct::Trickling => 1.min(left.saturating_sub(1)),
            _ => self
                .rng
                .usize(0..=caller.bytes / 2)
                .min(left.saturating_sub(1)),
        }
    }

    fn receive(&mut self, id: ConnectionId, arriving: usize) {
        self.checked.progress(self.now, id, arriving);
        let caller = self.callers.get_mut(&id).unwrap();
        caller.next = match caller.conduct {
            Conduct::Trickling => self.now + Duration::from_millis(100),
            _ => self.now + STEP * self.rng.u32(1..3),
        };
        if caller.received == caller.bytes {
            assert!(self.checked.complete(id));
            caller.next = self.now + STEP * self.rng.u32(1..10);
        }
    }

    /// Asks for memory; `false` unless it is granted.
    fn reserve(&mut self, id: ConnectionId, bytes: usize) -> bool {
        match self.checked.reserve(self.now, id, bytes) {
            Reservation::Granted => {
                self.granted += 1;
                return true;
            }
            Reservation::Wait { evicted, ask_again } => {
                self.waits += 1;
                self.closing.extend(evicted);
                self.callers.get_mut(&id).unwrap().next = self.now + ask_again;
            }
            Reservation::Refused { .. } => {
                self.closing.insert(id);
            }
            Reservation::Evicted => panic!("{id} is not told of its eviction"),
        }
        false
    }

    /// Lets those ask again that are told to.
    fn wake_waiters(&mut self) {
        loop {
            let ready = self.checked.intake.ready_waiters(self.now);
            if ready.is_empty() {
                return;
            }
            for id in ready {
                if self.checked.model[&id].wait.is_some() {
                    self.callers.get_mut(&id).unwrap().next = self.now;
                    self.send(id);
                }
            }
        }
    }

    fn close(&mut self, id: ConnectionId) {
        self.checked.close(id);
        self.callers.remove(&id);
        self.closing.remove(&id);
    }

    /// Ends whatever does not wait: each waiter must get its room then, or be refused after its time.
    fn end_holders(&mut self) {
        while self.checked.intake.waiters() > 0 {
            self.close_all_but_waiters();
            let before = self.checked.intake.waiters();
            let ready = self.checked.intake.ready_waiters(self.now);
            if ready.is_empty() {
                // The waiters hold all of the memory themselves, and have not stalled yet.
                self.now += STEP;
                self.ask_all();
                continue;
            }
            self.wake_waiters();
            let after = self.checked.intake.waiters();
            assert!(after < before, "{before} wait for nobody");
        }
    }

    fn close_all_but_waiters(&mut self) {
        let others = self.checked.model.iter().filter(|(_, c)| c.wait.is_none());
        let others: Vec<ConnectionId> = others.map(|(id, _)| *id).collect();
        for id in others {
            self.close(id);
        }
    }

    fn ask_all(&mut self) {
        let waiting = self.checked.model.iter().filter(|(_, c)| c.wait.is_some());
        let due = waiting.filter(|(id, _)| self.callers[*id].next <= self.now);
        let due: Vec<ConnectionId> = due.map(|(id, _)| *id).collect();
        assert!(self.now < Duration::from_mins(1), "{due:?} wait for ever");
        for id in due {
            if self.checked.model[&id].wait.is_some() {
                self.send(id);
            }
        }
    }
}
