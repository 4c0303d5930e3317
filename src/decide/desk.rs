//! The desk: admission, placement and retries of one entry.

mod admit;
mod dispatch;
mod failover;
mod foretell;
mod hedge;
mod outcome;
mod refuse;
mod signal;
mod timers;

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::catalog::Catalog;
use crate::decide::appointments::Appointments;
use crate::decide::fleet::{Fleet, OwnLoad, PoolIx};
use crate::decide::invariants::Invariants;
use crate::decide::lane::Lane;
use crate::decide::request::{Request, Timer};
use crate::decide::suspects::Suspects;
use crate::decide::{DeskSettings, Effect, Event, RequestId};
use crate::prelude::*;

/// Admission, placement and retries of one entry, as a state machine.
#[derive(Debug)]
pub struct Desk {
    cfg: DeskSettings,
    rng: fastrand::Rng,
    now: Timestamp,
    fleet: Fleet,
    lanes: Vec<Vec<Lane>>,
    requests: HashMap<RequestId, Request>,
    timers: BTreeSet<(Timestamp, Timer)>,
    dirty: BTreeSet<PoolIx>,
    suspects: Suspects,
    deaths: VecDeque<(Timestamp, Name, Name)>,
    appointments: Appointments,
    catalog: Arc<Catalog>,
    invariants: Invariants,
    draining: bool,
}

impl Desk {
    /// Makes a desk without targets.
    #[must_use]
    pub fn new(cfg: DeskSettings) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(cfg.seed),
            now: Timestamp::ZERO,
            fleet: Fleet::new(&cfg),
            lanes: Vec::new(),
            requests: HashMap::new(),
            timers: BTreeSet::new(),
            dirty: BTreeSet::new(),
            suspects: Suspects::new(cfg.quarantine),
            deaths: VecDeque::new(),
            appointments: Appointments::default(),
            catalog: Arc::default(),
            invariants: Invariants::default(),
            draining: false,
            cfg,
        }
    }

    /// Reacts to one event; `now` never runs backwards.
    pub fn on(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        let tick = matches!(event, Event::Tick);
        match event {
            Event::Arrive(arrival) => self.arrive(arrival, effects),
            Event::Left(id) => self.leave(id),
            Event::Confirm(id) => self.confirm(id, effects),
            Event::FirstToken { id, attempt } => self.first_token(id, attempt, effects),
            Event::Ended {
                id,
                attempt,
                outcome,
            } => self.ended(id, attempt, &outcome, effects),
            Event::Targets(list) => self.take_list(list, effects),
            Event::Report { target, report } => self.take_report(&target, report),
            Event::Signal { target, signal } => self.take_signal(&target, signal, effects),
            Event::Catalog(catalog) => self.catalog = catalog,
            Event::Entries(n) => self.take_entries(n),
            Event::Quarantine {
                fingerprint,
                victims,
                ttl,
            } => self.take_quarantine(&fingerprint, &victims, ttl, effects),
            Event::Drain => self.draining = true,
            Event::Tick => {}
        }
        self.run_timers(tick, effects);
        self.serve_dirty(effects);
    }

    /// Time at which the desk wants a [`Event::Tick`], if nothing happens before.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Requests that wait for a target.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let lanes = self.lanes.iter().flatten();
        lanes.map(Lane::len).sum()
    }

    /// What is under way at each listed target.
    #[must_use]
    pub fn loads(&self) -> HashMap<Name, OwnLoad> {
        let listed = self.fleet.iter().filter(|(_, t)| t.listed);
        listed
            .map(|(_, t)| (t.info.name.clone(), t.load.own_load()))
            .collect()
    }

    /// Requests known, waiting or running.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Own attempts under way at a target; `None` when it is not listed.
    #[must_use]
    pub fn in_flight(&self, target: &str) -> Option<u32> {
        let ix = self.fleet.find(target)?;
        self.fleet.get(ix).map(|t| t.load.own())
    }

    /// Fingerprints remembered as suspected, quarantined, running or harmless.
    #[must_use]
    pub fn fingerprints(&self) -> usize {
        self.suspects.len()
    }

    /// Invariants found broken; each is a defect of this program.
    #[must_use]
    pub fn broken_invariants(&self) -> u64 {
        self.invariants.broken()
    }

    fn take_entries(&mut self, entries: u32) {
        self.fleet.set_entries(self.now, entries);
        self.dirty_all();
    }

    fn dirty_all(&mut self) {
        self.dirty.extend((0..self.fleet.pools()).map(PoolIx));
    }
}
