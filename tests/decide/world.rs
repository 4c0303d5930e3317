//! A desk against targets with slots and service times, on virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use guavahold::cache::BlockKey;
use guavahold::catalog::{Catalog, Customer, Policy, PriorityClass};
use guavahold::decide::{
    Arrival, AttemptOutcome, Desk, DeskSettings, Effect, Event, Refusal, RequestId, Signal,
    TargetInfo,
};
use guavahold::prelude::*;
use guavahold::target::LoadReport;

/// Prompt tokens prefilled in a second.
pub const PREFILL_RATE: u32 = 10_000;
const REPORT_EVERY: Duration = Duration::from_millis(250);
const TICK: Duration = Duration::from_millis(5);
const PROBE_TIME: Duration = Duration::from_millis(3);

pub fn ms(n: u64) -> Stamp {
    Stamp::from_millis(n)
}

pub fn key(n: u64) -> BlockKey {
    BlockKey::from_bytes(*blake3::hash(&n.to_le_bytes()).as_bytes())
}

pub fn policy(class: PriorityClass, first_token_ms: u64) -> Arc<Policy> {
    Arc::new(Policy {
        class,
        first_token_ms,
        ..Policy::default()
    })
}

pub fn target(name: &str, domain: &str) -> TargetInfo {
    TargetInfo {
        name: name.into(),
        domain: domain.into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        serves: "chat".into(),
        leaving: false,
    }
}

pub fn report(slots: u32) -> LoadReport {
    LoadReport {
        slots,
        prefill_rate: PREFILL_RATE,
        weights: vec!["v1".into()],
        ..LoadReport::default()
    }
}

pub fn arrival(id: u64, customer: &str, policy: &Arc<Policy>) -> Arrival {
    Arrival {
        id: RequestId(id),
        customer: customer.into(),
        serves: "chat".into(),
        weights: ["v1".into()].into_iter().collect(),
        policy: policy.clone(),
        fingerprint: key(id),
        affinity: key(id),
        tokens: 200,
        shared_tokens: 0,
        kept_tokens: SmallVec::new(),
        kept_domain: None,
        output_tokens: 0,
        attempts: 0,
        resumable: false,
    }
}

/// One target of the model.
#[derive(Debug)]
pub struct Engine {
    pub info: TargetInfo,
    pub slots: u32,
    pub slowness: f64,
    pub reachable: bool,
    /// Attempts received.
    pub received: u32,
    running: Vec<(RequestId, u32)>,
    waiting: VecDeque<(RequestId, u32)>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrive(usize),
    FirstToken(Name, RequestId, u32),
    Done(Name, RequestId, u32),
    Fail(RequestId, u32, bool),
    Report(Name),
    Probed(Name),
    Tick,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Done,
    Refused(Refusal),
}

/// What is recorded of a request.
#[derive(Clone, Debug)]
pub struct Record {
    pub arrival: Arrival,
    pub arrived: Stamp,
    pub first_token: Option<Stamp>,
    pub attempts: u32,
    pub end: Option<(Stamp, End)>,
}

impl Record {
    /// Whether the first token came within the deadline and the answer whole.
    pub fn is_good(&self) -> bool {
        let in_time = |at: Stamp| at <= self.arrived + self.arrival.policy.first_token();
        matches!(self.end, Some((_, End::Done))) && self.first_token.is_some_and(in_time)
    }

    /// Whether the answer came, but its first token after the deadline.
    pub fn is_late(&self) -> bool {
        matches!(self.end, Some((_, End::Done))) && !self.is_good()
    }

    pub fn refusal(&self) -> Option<&Refusal> {
        match &self.end {
            Some((_, End::Refused(refusal))) => Some(refusal),
            _ => None,
        }
    }
}

/// The model.
pub struct World {
    pub now: Stamp,
    pub desk: Desk,
    pub engines: BTreeMap<Name, Engine>,
    pub records: BTreeMap<RequestId, Record>,
    /// Mean decode time of a request after its prefill; even between half and one and a half of it.
    pub decode: Duration,
    /// Fingerprints that kill the targets that run them.
    pub killers: Vec<BlockKey>,
    /// Targets killed.
    pub killed: Vec<Name>,
    /// Whether refused callers come back as told.
    pub obedient: bool,
    /// Attempts that raced an earlier one.
    pub hedges: u32,
    /// Attempts cancelled.
    pub cancelled: u32,
    arrivals: Vec<Arrival>,
    happenings: BinaryHeap<Reverse<(Stamp, u64, Happening)>>,
    seq: u64,
    next_id: u64,
    rng: fastrand::Rng,
}

impl World {
    pub fn new(cfg: DeskSettings, engines: Vec<Engine>) -> Self {
        let mut world = Self {
            now: Stamp::ZERO,
            desk: Desk::new(cfg),
            engines: BTreeMap::new(),
            records: BTreeMap::new(),
            decode: ms(100),
            killers: Vec::new(),
            killed: Vec::new(),
            obedient: false,
            hedges: 0,
            cancelled: 0,
            arrivals: Vec::new(),
            happenings: BinaryHeap::new(),
            seq: 0,
            next_id: 1_000_000,
            rng: fastrand::Rng::with_seed(3),
        };
        let list = engines.iter().map(|e| e.info.clone()).collect();
        for engine in engines {
            let name = engine.info.name.clone();
            world.at(ms(0), Happening::Report(name.clone()));
            world.engines.insert(name, engine);
        }
        world.tell(Event::Targets(list));
        world.at(ms(0), Happening::Tick);
        world
    }

    /// `domains` domains with `each` engines of `slots` slots.
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

    pub fn shares(&mut self, shares: &[(&str, u32)]) {
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
        self.tell(Event::Catalog(Arc::new(catalog)));
    }

    /// Lets requests arrive at a mean rate (Poisson) between two times.
    pub fn stream(
        &mut self,
        seed: u64,
        rate: f64,
        (from, to): (Stamp, Stamp),
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

    pub fn arrive_at(&mut self, at: Stamp, mut arrival: Arrival) -> RequestId {
        self.next_id += 1;
        arrival.id = RequestId(self.next_id);
        let id = arrival.id;
        self.arrivals.push(arrival);
        self.at(at, Happening::Arrive(self.arrivals.len() - 1));
        id
    }

    pub fn run_until(&mut self, end: Stamp) {
        while let Some(Reverse((at, _, _))) = self.happenings.peek() {
            if *at > end {
                break;
            }
            let Reverse((at, _, happening)) = self.happenings.pop().unwrap();
            self.now = at;
            self.happen(happening);
        }
        self.now = end;
    }

    fn at(&mut self, at: Stamp, happening: Happening) {
        self.seq += 1;
        self.happenings.push(Reverse((at, self.seq, happening)));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(n) => self.arrive(n),
            Happening::FirstToken(target, id, attempt) => self.first_token(&target, id, attempt),
            Happening::Done(target, id, attempt) => self.done(&target, id, attempt),
            Happening::Fail(id, attempt, sent) => {
                let outcome = if sent {
                    AttemptOutcome::Lost
                } else {
                    AttemptOutcome::NotSent
                };
                self.tell(Event::Ended {
                    id,
                    attempt,
                    outcome,
                });
            }
            Happening::Report(name) => self.report(&name),
            Happening::Probed(target) => {
                let up = self.engines.get(&target).is_some_and(|e| e.reachable);
                let signal = if up {
                    Signal::Reachable
                } else {
                    Signal::Unreachable
                };
                self.tell(Event::Signal { target, signal });
            }
            Happening::Tick => {
                self.tell(Event::Tick);
                self.at(self.now + TICK, Happening::Tick);
            }
        }
    }

    fn arrive(&mut self, n: usize) {
        let arrival = self.arrivals[n].clone();
        let record = Record {
            arrival: arrival.clone(),
            arrived: self.now,
            first_token: None,
            attempts: 0,
            end: None,
        };
        assert!(self.records.insert(arrival.id, record).is_none());
        self.tell(Event::Arrive(arrival));
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
            self.tell(Event::Report {
                target: name.clone(),
                report,
            });
        }
        self.at(self.now + REPORT_EVERY, Happening::Report(name.clone()));
    }

    /// Hands an event to the desk and carries out what it asks for.
    pub fn tell(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.desk.on(self.now, event, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
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
                if self.obedient && refusal.run() == guavahold::http::RunState::NotRun {
                    let again = self.records[&id].arrival.clone();
                    self.arrive_at(self.now + refusal.retry_after(), again);
                }
                self.end(id, End::Refused(refusal));
            }
            Effect::Cancel { id, attempt } => {
                self.cancelled += 1;
                for engine in self.engines.values_mut() {
                    engine.running.retain(|r| *r != (id, attempt));
                    engine.waiting.retain(|r| *r != (id, attempt));
                }
            }
            Effect::Probe { target, .. } => {
                self.at(self.now + PROBE_TIME, Happening::Probed(target));
            }
            Effect::Quarantine { .. } => {}
        }
    }

    fn end(&mut self, id: RequestId, end: End) {
        let record = self.records.get_mut(&id).unwrap();
        assert!(record.end.is_none(), "{id:?} ended twice");
        record.end = Some((self.now, end));
    }

    fn dispatch(&mut self, id: RequestId, attempt: u32, target: &Name) {
        let record = self.records.get_mut(&id).unwrap();
        assert!(record.end.is_none(), "{id:?} dispatched after its end");
        let engine = self.engines.get_mut(target).unwrap();
        if !engine.reachable {
            self.at(self.now + ms(1), Happening::Fail(id, attempt, false));
            return;
        }
        record.attempts += 1;
        let killer = self.killers.contains(&record.arrival.fingerprint);
        engine.received += 1;
        engine.waiting.push_back((id, attempt));
        self.fill(target);
        if killer {
            self.kill(target);
        }
    }

    /// Kills a target with all that it runs.
    pub fn kill(&mut self, target: &str) {
        let engine = self.engines.get_mut(target).unwrap();
        engine.reachable = false;
        self.killed.push(engine.info.name.clone());
        let running = std::mem::take(&mut engine.running);
        let waiting = std::mem::take(&mut engine.waiting);
        for (id, attempt) in running.into_iter().chain(waiting) {
            self.at(self.now + ms(2), Happening::Fail(id, attempt, true));
        }
    }

    /// Cuts a failure domain off or heals it.
    pub fn cut(&mut self, domain: &str, cut: bool) {
        let in_domain = self.engines.values().filter(|e| *e.info.domain == *domain);
        let names: Vec<Name> = in_domain.map(|e| e.info.name.clone()).collect();
        for name in names {
            if cut {
                self.kill(&name);
            } else {
                self.engines.get_mut(&name).unwrap().reachable = true;
            }
        }
    }

    fn fill(&mut self, target: &Name) {
        let engine = self.engines.get_mut(target).unwrap();
        while engine.running.len() < engine.slots as usize {
            let Some((id, attempt)) = engine.waiting.pop_front() else {
                return;
            };
            engine.running.push((id, attempt));
            let tokens = self.records[&id].arrival.tokens;
            let prefill = f64::from(tokens) / f64::from(PREFILL_RATE);
            let slowness = engine.slowness;
            let first = self.now + Duration::from_secs_f64(prefill * slowness);
            let decode = self.decode.mul_f64(0.5 + self.rng.f64());
            let done = first + decode.mul_f64(slowness);
            self.seq += 2;
            let first = (
                first,
                self.seq - 1,
                Happening::FirstToken(target.clone(), id, attempt),
            );
            let done = (done, self.seq, Happening::Done(target.clone(), id, attempt));
            self.happenings.extend([Reverse(first), Reverse(done)]);
        }
    }

    fn runs(&self, target: &Name, id: RequestId, attempt: u32) -> bool {
        self.engines[target].running.contains(&(id, attempt))
    }

    fn first_token(&mut self, target: &Name, id: RequestId, attempt: u32) {
        if self.runs(target, id, attempt) {
            let record = self.records.get_mut(&id).unwrap();
            record.first_token.get_or_insert(self.now);
            self.tell(Event::FirstToken { id, attempt });
        }
    }

    fn done(&mut self, target: &Name, id: RequestId, attempt: u32) {
        if !self.runs(target, id, attempt) {
            return;
        }
        let engine = self.engines.get_mut(target).unwrap();
        engine.running.retain(|r| *r != (id, attempt));
        self.fill(target);
        self.end(id, End::Done);
        self.tell(Event::Ended {
            id,
            attempt,
            outcome: AttemptOutcome::Done,
        });
    }

    /// Requests that arrived between two times and ended well.
    pub fn good(&self, (from, to): (Stamp, Stamp)) -> u32 {
        count(self.arrived((from, to)).filter(|r| r.is_good()))
    }

    pub fn arrived(&self, (from, to): (Stamp, Stamp)) -> impl Iterator<Item = &Record> {
        let records = self.records.values();
        records.filter(move |r| r.arrived >= from && r.arrived < to)
    }

    /// Checks that all is over and nothing is held.
    pub fn assert_at_rest(&self) {
        for record in self.records.values() {
            assert!(record.end.is_some(), "no end: {record:?}");
        }
        assert_eq!(self.desk.requests(), 0);
        assert_eq!(self.desk.waiting(), 0);
        for name in self.engines.keys() {
            assert_eq!(self.desk.in_flight(name).unwrap_or(0), 0);
        }
    }
}

pub fn count(items: impl Iterator) -> u32 {
    u32::try_from(items.count()).unwrap()
}

/// The value below which 95 in 100 lie.
pub fn p95(mut values: Vec<Duration>) -> Duration {
    values.sort_unstable();
    values[values.len() * 95 / 100]
}
