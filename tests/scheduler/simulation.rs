//! Simulation of a scheduler and of targets with slots and service times, on virtual time.

mod engine;
mod faults;
mod record;
mod samples;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

pub use engine::Engine;
use guavahold::catalog::{Catalog, Customer};
use guavahold::prefix_keys::BlockKey;
use guavahold::prelude::*;
use guavahold::scheduler::{
    Arrival, AttemptOutcome, Effect, Event, RequestId, Scheduler, SchedulerSettings, Signal,
};
use guavahold::target::LoadReport;
pub use record::{Outcome, RequestRecord};
pub use samples::*;

/// Prompt tokens that a target prefills per second.
pub const PREFILL_RATE: u32 = 10_000;
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const TICK_INTERVAL: Duration = Duration::from_millis(5);
const PROBE_DURATION: Duration = Duration::from_millis(3);

/// An event of the simulation; attempts are given by request and number.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// Index of the arrival.
    Arrive(usize),
    FirstToken(Name, RequestId, u32),
    Done(Name, RequestId, u32),
    /// Failure of an attempt, and whether its request was sent.
    Fail(RequestId, u32, bool),
    Report(Name),
    Probed(Name),
    Tick,
}

/// A scheduler, its targets and the requests of callers.
pub struct Simulation {
    pub now: Timestamp,
    pub scheduler: Scheduler,
    pub engines: BTreeMap<Name, Engine>,
    pub records: BTreeMap<RequestId, RequestRecord>,
    /// Mean time of generation after the first token; uniform between half and one and a half of
    /// it.
    pub decode: Duration,
    /// Fingerprints of requests that crash the targets that receive them.
    pub crashing_requests: Vec<BlockKey>,
    /// Targets that died, in order.
    pub killed: Vec<Name>,
    /// Whether refused callers retry at the time given in the refusal.
    pub retry_as_advised: bool,
    /// Number of hedges.
    pub hedges: u32,
    /// Number of cancelled attempts.
    pub cancelled: u32,
    arrivals: Vec<Arrival>,
    pending_events: BinaryHeap<Reverse<(Timestamp, u64, SimEvent)>>,
    seq: u64,
    next_id: u64,
    rng: fastrand::Rng,
}

impl Simulation {
    pub fn new(cfg: SchedulerSettings, engines: Vec<Engine>) -> Self {
        let mut simulation = Self {
            now: Timestamp::ZERO,
            scheduler: Scheduler::new(cfg),
            engines: BTreeMap::new(),
            records: BTreeMap::new(),
            decode: ms(100),
            crashing_requests: Vec::new(),
            killed: Vec::new(),
            retry_as_advised: false,
            hedges: 0,
            cancelled: 0,
            arrivals: Vec::new(),
            pending_events: BinaryHeap::new(),
            seq: 0,
            next_id: 1_000_000,
            rng: fastrand::Rng::with_seed(3),
        };
        let list = engines.iter().map(|e| e.info.clone()).collect();
        for engine in engines {
            let name = engine.info.name.clone();
            simulation.schedule(ms(0), SimEvent::Report(name.clone()));
            simulation.engines.insert(name, engine);
        }
        simulation.submit(Event::Targets(list));
        simulation.schedule(ms(0), SimEvent::Tick);
        simulation
    }

    /// Engines with `slots` slots each, `each` of them in each of `domains` failure domains.
    pub fn fleet(domains: u32, each: u32, slots: u32) -> Vec<Engine> {
        let names = (0..domains).flat_map(|d| (0..each).map(move |n| (d, n)));
        let engine = |(d, n)| Engine {
            info: target(&format!("engine-{d}-{n}"), &format!("domain-{d}")),
            slots,
            slowness: 1.0,
            reachable: true,
            received: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
        };
        names.map(engine).collect()
    }

    pub fn set_shares(&mut self, shares: &[(&str, u32)]) {
        let mut catalog = Catalog::default();
        for (name, share) in shares {
            let customer = Customer {
                share: *share,
                tokens: SmallVec::new(),
            };
            catalog
                .declarations
                .customers
                .insert((*name).into(), customer);
        }
        self.submit(Event::Catalog(Arc::new(catalog)));
    }

    /// Adds arrivals between two times at a mean rate per second (Poisson process).
    pub fn add_poisson_arrivals(
        &mut self,
        seed: u64,
        rate: f64,
        (from, to): (Timestamp, Timestamp),
        make: impl Fn(u64) -> Arrival,
    ) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut at = from;
        loop {
            at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
            if at >= to {
                return;
            }
            self.arrive_at(at, make(self.next_id));
        }
    }

    pub fn arrive_at(&mut self, at: Timestamp, mut arrival: Arrival) -> RequestId {
        self.next_id += 1;
        arrival.id = RequestId(self.next_id);
        let id = arrival.id;
        self.arrivals.push(arrival);
        self.schedule(at, SimEvent::Arrive(self.arrivals.len() - 1));
        id
    }

    pub fn run_until(&mut self, end: Timestamp) {
        while let Some(Reverse((at, _, _))) = self.pending_events.peek() {
            if *at > end {
                break;
            }
            let Reverse((at, _, event)) = self.pending_events.pop().unwrap();
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    fn schedule(&mut self, at: Timestamp, event: SimEvent) {
        self.seq += 1;
        self.pending_events.push(Reverse((at, self.seq, event)));
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(n) => self.arrive(n),
            SimEvent::FirstToken(target, id, attempt) => self.first_token(&target, id, attempt),
            SimEvent::Done(target, id, attempt) => self.done(&target, id, attempt),
            SimEvent::Fail(id, attempt, sent) => {
                let outcome = if sent {
                    AttemptOutcome::Lost
                } else {
                    AttemptOutcome::NotSent
                };
                self.submit(Event::AttemptEnded {
                    id,
                    attempt,
                    outcome,
                });
            }
            SimEvent::Report(name) => self.report(&name),
            SimEvent::Probed(target) => {
                let up = self.engines.get(&target).is_some_and(|e| e.reachable);
                let signal = if up {
                    Signal::Reachable
                } else {
                    Signal::Unreachable
                };
                self.submit(Event::Signal { target, signal });
            }
            SimEvent::Tick => {
                self.submit(Event::Tick);
                self.schedule(self.now + TICK_INTERVAL, SimEvent::Tick);
            }
        }
    }

    fn arrive(&mut self, n: usize) {
        let arrival = self.arrivals[n].clone();
        let record = RequestRecord {
            arrival: arrival.clone(),
            arrived: self.now,
            first_token: None,
            attempts: 0,
            end: None,
        };
        assert!(self.records.insert(arrival.id, record).is_none());
        self.submit(Event::Arrive(arrival));
    }

    fn report(&mut self, name: &Name) {
        let engine = &self.engines[name];
        let up = engine.reachable;
        let report = LoadReport {
            running: u32::try_from(engine.running.len()).unwrap(),
            queued: u32::try_from(engine.waiting.len()).unwrap(),
            ..report(engine.slots)
        };
        if up {
            self.submit(Event::Report {
                target: name.clone(),
                report,
            });
        }
        self.schedule(self.now + REPORT_INTERVAL, SimEvent::Report(name.clone()));
    }

    /// Submits an event to the scheduler and carries out its effects.
    pub fn submit(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.scheduler.on(self.now, event, &mut effects);
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch {
                id,
                attempt,
                target,
                hedge,
                ..
            } => {
                self.hedges += u32::from(hedge);
                self.dispatch(id, attempt, &target);
            }
            Effect::Refuse { id, refusal } => {
                if self.retry_as_advised && refusal.run() == guavahold::http::RunState::NotRun {
                    let retry = self.records[&id].arrival.clone();
                    self.arrive_at(self.now + refusal.retry_after(), retry);
                }
                self.end(id, Outcome::Refused(refusal));
            }
            Effect::Cancel { id, attempt } => {
                self.cancelled += 1;
                for engine in self.engines.values_mut() {
                    engine.running.retain(|r| *r != (id, attempt));
                    engine.waiting.retain(|r| *r != (id, attempt));
                }
            }
            Effect::Probe { target, .. } => {
                self.schedule(self.now + PROBE_DURATION, SimEvent::Probed(target));
            }
            Effect::Quarantine(_) => {}
        }
    }

    fn end(&mut self, id: RequestId, end: Outcome) {
        let record = self.records.get_mut(&id).unwrap();
        assert!(record.end.is_none(), "{id:?} ended twice");
        record.end = Some((self.now, end));
    }

    fn dispatch(&mut self, id: RequestId, attempt: u32, target: &Name) {
        let record = self.records.get_mut(&id).unwrap();
        assert!(record.end.is_none(), "{id:?} dispatched after its end");
        let engine = self.engines.get_mut(target).unwrap();
        if !engine.reachable {
            self.schedule(self.now + ms(1), SimEvent::Fail(id, attempt, false));
            return;
        }
        record.attempts += 1;
        let crashes = self.crashing_requests.contains(&record.arrival.fingerprint);
        engine.received += 1;
        engine.waiting.push_back((id, attempt));
        self.start_waiting(target);
        if crashes {
            self.kill(target);
        }
    }

    fn start_waiting(&mut self, target: &Name) {
        let engine = self.engines.get_mut(target).unwrap();
        while engine.running.len() < engine.slots as usize {
            let Some((id, attempt)) = engine.waiting.pop_front() else {
                return;
            };
            engine.running.push((id, attempt));
            let tokens = self.records[&id].arrival.prompt_tokens;
            let prefill = f64::from(tokens) / f64::from(PREFILL_RATE);
            let slowness = engine.slowness;
            let first = self.now + Duration::from_secs_f64(prefill * slowness);
            let decode = self.decode.mul_f64(0.5 + self.rng.f64());
            let done = first + decode.mul_f64(slowness);
            self.seq += 2;
            let first = (
                first,
                self.seq - 1,
                SimEvent::FirstToken(target.clone(), id, attempt),
            );
            let done = (done, self.seq, SimEvent::Done(target.clone(), id, attempt));
            self.pending_events.extend([Reverse(first), Reverse(done)]);
        }
    }

    fn is_running(&self, target: &Name, id: RequestId, attempt: u32) -> bool {
        self.engines[target].running.contains(&(id, attempt))
    }

    fn first_token(&mut self, target: &Name, id: RequestId, attempt: u32) {
        if self.is_running(target, id, attempt) {
            let record = self.records.get_mut(&id).unwrap();
            record.first_token.get_or_insert(self.now);
            self.submit(Event::FirstToken { id, attempt });
        }
    }

    fn done(&mut self, target: &Name, id: RequestId, attempt: u32) {
        if !self.is_running(target, id, attempt) {
            return;
        }
        let engine = self.engines.get_mut(target).unwrap();
        engine.running.retain(|r| *r != (id, attempt));
        self.start_waiting(target);
        self.end(id, Outcome::Done);
        self.submit(Event::AttemptEnded {
            id,
            attempt,
            outcome: AttemptOutcome::Done,
        });
    }

    /// Number of requests that arrived between two times and were served in time.
    pub fn count_in_time(&self, (from, to): (Timestamp, Timestamp)) -> u32 {
        count(self.arrived_between((from, to)).filter(|r| r.is_in_time()))
    }

    pub fn arrived_between(
        &self,
        (from, to): (Timestamp, Timestamp),
    ) -> impl Iterator<Item = &RequestRecord> {
        let records = self.records.values();
        records.filter(move |r| r.arrived >= from && r.arrived < to)
    }

    /// Checks that all requests have ended and that the scheduler holds no request or slot.
    pub fn assert_idle(&self) {
        for record in self.records.values() {
            assert!(record.end.is_some(), "no end: {record:?}");
        }
        assert_eq!(self.scheduler.request_count(), 0);
        assert_eq!(self.scheduler.queued(), 0);
        for name in self.engines.keys() {
            assert_eq!(self.scheduler.in_flight(name).unwrap_or(0), 0);
        }
    }
}

pub fn count(items: impl Iterator) -> u32 {
    u32::try_from(items.count()).unwrap()
}

/// The 95th percentile.
pub fn p95(mut values: Vec<Duration>) -> Duration {
    values.sort_unstable();
    values[values.len() * 95 / 100]
}
