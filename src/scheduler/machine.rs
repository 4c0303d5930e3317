//! The state machine: admission, placement, retries and hedges of one entry.

mod admit;
mod dispatch;
mod evacuation;
mod failover;
mod hedge;
mod outcome;
mod rate_share;
mod refuse;
mod resumed;
mod signal;
mod timers;
mod wait_prediction;
mod warm_up;

pub(super) use refuse::MIN_OVERLOAD_PAUSE;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use crate::catalog::Catalog;
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::residency::AllowedDomains;
use crate::scheduler::fleet::{Fleet, OwnLoad, PoolIx};
use crate::scheduler::invariants::Invariants;
use crate::scheduler::lane::Lane;
use crate::scheduler::request::{Request, Timer};
use crate::scheduler::reservations::Reservations;
use crate::scheduler::suspect_requests::SuspectRequests;
use crate::scheduler::{Effect, Event, LoadSpread, RequestId, SchedulerSettings, SuspectRequest};

/// Admission, placement, retries and hedges of one entry, as a state machine.
#[derive(Debug)]
pub struct Scheduler {
    cfg: SchedulerSettings,
    rng: fastrand::Rng,
    now: Timestamp,
    fleet: Fleet,
    /// Lanes of each pool.
    lanes: Vec<Vec<Lane>>,
    requests: HashMap<RequestId, Request>,
    timers: BTreeSet<(Timestamp, Timer)>,
    /// Pools whose targets or queues changed, so that requests may be dispatched.
    dirty_pools: BTreeSet<PoolIx>,
    suspects: SuspectRequests,
    /// Requests that wait for a target of the software version that began their stream.
    resumed_waiting: BTreeSet<(PoolIx, RequestId)>,
    /// Targets that became unreachable: time, failure domain and name.
    recent_deaths: VecDeque<(Timestamp, Name, Name)>,
    reservations: Reservations,
    catalog: Arc<Catalog>,
    invariants: Invariants,
    draining: bool,
}

impl Scheduler {
    /// Makes a state machine without targets.
    #[must_use]
    pub fn new(cfg: SchedulerSettings) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(cfg.seed),
            now: Timestamp::ZERO,
            fleet: Fleet::new(&cfg),
            lanes: Vec::new(),
            requests: HashMap::new(),
            timers: BTreeSet::new(),
            dirty_pools: BTreeSet::new(),
            suspects: SuspectRequests::new(cfg.quarantine_time),
            resumed_waiting: BTreeSet::new(),
            recent_deaths: VecDeque::new(),
            reservations: Reservations::default(),
            catalog: Arc::default(),
            invariants: Invariants::default(),
            draining: false,
            cfg,
        }
    }

    /// Handles one event and appends its effects. Time does not run backwards: a `now` before that of
    /// an earlier call is replaced by the latest one.
    pub fn on(&mut self, now: Timestamp, event: Event, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        let tick = matches!(event, Event::Tick);
        match event {
            Event::Arrive(arrival) => self.arrive(arrival, effects),
            Event::CallerLeft(id) => self.remove_request(id),
            Event::Confirm(id) => self.confirm(id, effects),
            Event::FirstToken { id, attempt } => self.first_token(id, attempt, effects),
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
            } => self.attempt_ended(id, attempt, &outcome, effects),
            Event::Targets(list) => self.apply_list(list, effects),
            Event::Evacuations(domains) => self.apply_evacuations(domains, effects),
            Event::Report { target, report } => self.apply_report(&target, report),
            Event::Signal { target, signal } => self.apply_signal(&target, signal, effects),
            Event::RateShare { target, share } => self.apply_rate_share(&target, share),
            Event::WarmUpPlans(plans) => self.apply_warm_up_plans(plans),
            Event::Catalog(catalog) => self.catalog = catalog,
            Event::EntryCount(n) => self.apply_entry_count(n),
            Event::Quarantine(suspect) => self.apply_quarantine(&suspect, effects),
            Event::Drain => self.draining = true,
            Event::Tick => {}
        }
        self.run_timers(tick, effects);
        self.serve_dirty(effects);
    }

    /// Time at which the next timer is due, so that an [`Event::Tick`] is needed.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        let lanes = self.lanes.iter().flatten();
        lanes.map(Lane::len).sum()
    }

    /// Load of each listed target by this entry's own requests.
    #[must_use]
    pub fn own_loads(&self) -> HashMap<Name, OwnLoad> {
        let listed = self.fleet.iter().filter(|(_, t)| t.listed);
        listed
            .map(|(_, t)| (t.info.name.clone(), t.load.own_load()))
            .collect()
    }

    /// How evenly the targets are loaded, for each service whose load is known late.
    #[must_use]
    pub fn load_spreads(&self) -> Vec<LoadSpread> {
        self.fleet.load_spreads(self.now)
    }

    /// Number of requests that are queued, delayed or running.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Number of own attempts running at a target; `None` when it is not listed.
    #[must_use]
    pub fn in_flight(&self, target: &str) -> Option<u32> {
        let ix = self.fleet.find(target)?;
        self.fleet.get(ix).map(|t| t.load.own_attempts())
    }

    /// Whether a request may be sent to a target now. Since the request was dispatched, or where
    /// the scheduler that dispatched it knows less, the target may be gone, be leaving, have asked
    /// for a pause or be in an evacuated failure domain.
    #[must_use]
    pub fn may_send(&self, target: &str) -> bool {
        let target = self.fleet.find(target).and_then(|ix| self.fleet.get(ix));
        target.is_some_and(|t| {
            !t.health.is_evacuated() && !t.health.is_leaving() && !t.load.is_paused(self.now)
        })
    }

    /// Whether a target is in an evacuated failure domain.
    #[must_use]
    pub fn is_evacuated(&self, target: &str) -> bool {
        let target = self.fleet.find(target).and_then(|ix| self.fleet.get(ix));
        target.is_some_and(|t| t.health.is_evacuated())
    }

    /// Whether a listed target is in one of the failure domains `allowed`; false for an unknown one.
    #[must_use]
    pub fn is_allowed(&self, target: &str, allowed: &AllowedDomains) -> bool {
        let target = self.fleet.find(target).and_then(|ix| self.fleet.get(ix));
        target.is_some_and(|t| t.is_allowed(Some(allowed)))
    }

    /// Whether the listed target with an address is in one of the failure domains `allowed`; false
    /// if no target has this address.
    #[must_use]
    pub fn is_allowed_at(&self, address: SocketAddr, allowed: &AllowedDomains) -> bool {
        let mut targets = self.fleet.iter().map(|(_, t)| t);
        targets.any(|t| t.info.address == address && t.is_allowed(Some(allowed)))
    }

    /// Failure domain of this scheduler.
    #[must_use]
    pub fn domain(&self) -> &Name {
        &self.cfg.domain
    }

    /// The software version at which every stream of a model or service began that may still be
    /// taken up; `None` if there are several or it is unknown.
    #[must_use]
    pub fn sole_software(&self, serves: &str) -> Option<Name> {
        let pool = self.fleet.find_pool(serves)?;
        self.fleet.pool(pool).software.sole(self.now)
    }

    /// Number of fingerprints remembered as suspected, quarantined, running or proven harmless.
    #[must_use]
    pub fn fingerprint_count(&self) -> usize {
        self.suspects.len()
    }

    /// Requests that are suspected of crashing targets or quarantined, the latest first, at most
    /// `most`.
    #[must_use]
    pub fn suspects(&self, now: Timestamp, most: usize) -> Vec<SuspectRequest> {
        self.suspects.suspects(now, most)
    }

    /// What is known of a request that is quarantined; `None` if it is not.
    #[must_use]
    pub fn quarantined(&self, now: Timestamp, fingerprint: &BlockKey) -> Option<SuspectRequest> {
        let suspect = self.suspects.suspect(now, fingerprint);
        suspect.filter(SuspectRequest::is_quarantined)
    }

    /// Number of broken invariants found; each is a bug in this program.
    #[must_use]
    pub fn broken_invariants(&self) -> u64 {
        self.invariants.broken()
    }

    fn apply_entry_count(&mut self, entries: u32) {
        self.fleet.set_entries(self.now, entries);
        self.mark_all_dirty();
    }

    fn mark_all_dirty(&mut self) {
        self.dirty_pools
            .extend((0..self.fleet.pool_count()).map(PoolIx));
    }
}
