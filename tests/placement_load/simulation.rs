//! Simulation of schedulers and of targets that read prompts one after the other.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use guavahold::catalog::Policy;
use guavahold::domain_scheduler::{DomainCapacity, DomainChoice};
use guavahold::prefix_keys::BlockKey;
use guavahold::prelude::Name;
use guavahold::scheduler::{
    Arrival, AttemptOutcome, Effect, Event, OwnLoad, RequestId, Scheduler, SchedulerSettings,
    TargetInfo,
};
use guavahold::target::LoadReport;

use super::system::{FIRST_TOKEN_LIMIT_MS, System, ms};

/// Prompt tokens that a target reads per millisecond.
const READ_TOKENS_PER_MS: u64 = 66;
/// Time after which callers leave, in milliseconds.
const CALLER_PATIENCE_MS: u64 = 2_400;
/// Interval at which schedulers are ticked, in milliseconds.
const TICK_MS: u64 = 5;
/// Odd factor that spreads numbers of prefixes over all hashes.
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub in_time: u64,
    late: u64,
    /// The first token came when the caller had left.
    pub abandoned: u64,
    refused: u64,
}

impl Served {
    #[allow(clippy::cast_precision_loss)]
    pub fn share(self, count: u64) -> f64 {
        count as f64 / (self.in_time + self.late + self.abandoned + self.refused) as f64
    }
}

/// A simulated target that reads prompts one after the other.
#[derive(Default)]
struct Target {
    /// End of the reading of all prompts received, in milliseconds.
    busy_until: u64,
    /// Prefixes cached, at most 24.
    cached: BTreeSet<u64>,
}

/// Schedulers, targets and the requests under way.
pub struct Simulation {
    system: System,
    now: u64,
    schedulers: Vec<Scheduler>,
    targets: BTreeMap<Name, Target>,
    /// First tokens still to come, each 60 ms after its prompt was read: time, entry, request and
    /// attempt.
    first_tokens: BTreeSet<(u64, usize, RequestId, u32)>,
    /// Arrival time, prefix and tokens of the prefix of each request.
    requests: HashMap<RequestId, (u64, u64, u64)>,
    choice: DomainChoice,
    served: Served,
}

impl Simulation {
    fn new(system: System) -> Self {
        let names: Vec<Name> = (0..system.targets)
            .map(|n| format!("t{n}").into())
            .collect();
        let list: Vec<TargetInfo> = names
            .iter()
            .enumerate()
            .map(|(n, name)| TargetInfo {
                name: name.clone(),
                domain: domain_name(n, system.domains),
                address: "10.0.0.1:80".parse().unwrap(),
                serves: "llm".into(),
                leaving: false,
                started_ms: 0,
                software: Name::default(),
            })
            .collect();
        let scheduler = |n: usize| {
            let mut scheduler = Scheduler::new(SchedulerSettings {
                seed: n as u64 + 1,
                hedging: false,
                probe_after_refusal: false,
                placement: system.placement,
                ..SchedulerSettings::new(domain_name(n, system.domains))
            });
            let known = list
                .iter()
                .filter(|t| system.domains == 0 || t.domain == domain_name(n, system.domains));
            scheduler.on(
                ms(0),
                Event::Targets(known.cloned().collect()),
                &mut Vec::new(),
            );
            scheduler
        };
        let mut simulation = Self {
            system,
            now: 0,
            schedulers: (0..system.schedulers).map(scheduler).collect(),
            targets: names.into_iter().map(|n| (n, Target::default())).collect(),
            first_tokens: BTreeSet::new(),
            requests: HashMap::new(),
            choice: DomainChoice::default(),
            served: Served::default(),
        };
        simulation.exchange_loads();
        simulation
    }

    /// Reports to each scheduler the load of the targets by all schedulers.
    fn exchange_loads(&mut self) {
        let loads: Vec<_> = self.schedulers.iter().map(Scheduler::own_loads).collect();
        let names: Vec<Name> = self.targets.keys().cloned().collect();
        for (n, scheduler) in self.schedulers.iter_mut().enumerate() {
            for target in &names {
                let sum = |f: fn(&guavahold::scheduler::OwnLoad) -> u32, own: bool| -> u32 {
                    let entries = loads.iter().enumerate().filter(|(m, _)| own || *m != n);
                    entries.map(|(_, l)| l.get(target).map_or(0, f)).sum()
                };
                let report = LoadReport {
                    running: sum(|l| l.requests, true),
                    queued_tokens: u64::from(sum(|l| l.work, false)),
                    context_tokens: sum(|l| l.context, false),
                    context_limit: self.system.context_limit,
                    slots: self.system.slots,
                    weights: vec!["m/1".into()],
                    ..LoadReport::default()
                };
                let target = target.clone();
                scheduler.on(
                    ms(self.now),
                    Event::Report { target, report },
                    &mut Vec::new(),
                );
            }
        }
        self.update_choice(&loads);
    }

    /// Updates the utilization of the failure domains, by which requests are divided among them.
    fn update_choice(&mut self, loads: &[HashMap<Name, OwnLoad>]) {
        let targets = self.system.targets / self.system.domains.max(1);
        let slots = self.system.slots * u32::try_from(targets).unwrap();
        let domains = loads.iter().enumerate().take(self.system.domains);
        let capacities = domains.map(|(n, loads)| DomainCapacity {
            domain: n.to_string().into(),
            serves: "llm".into(),
            slots,
            requests: loads.values().map(|l| l.requests).sum::<u32>()
                + u32::try_from(self.schedulers[n].queued()).unwrap(),
        });
        self.choice = DomainChoice::new(capacities);
    }

    /// Scheduler of a request: a random entry's own one, or that of the domain for its prefix.
    fn scheduler_for(&self, prefix: u64, rng: &mut fastrand::Rng) -> usize {
        let domain = self
            .choice
            .choose(prefix.wrapping_mul(HASH_FACTOR), |_| true);
        domain.map_or_else(
            || rng.usize(..self.system.schedulers),
            |domain| domain.parse().unwrap(),
        )
    }

    /// Submits a request whose prompt has `sizes.0` tokens of a shared prefix and `sizes.1` more.
    fn arrive(&mut self, entry: usize, id: u64, prefix: u64, sizes: (u32, u32)) {
        let policy = Policy {
            first_token_ms: CALLER_PATIENCE_MS,
            total_ms: 3_000,
            ..Policy::default()
        };
        let mut key = [0; 32];
        key[..8].copy_from_slice(&prefix.to_le_bytes());
        let mut own = [1; 32];
        own[..8].copy_from_slice(&id.to_le_bytes());
        let id = RequestId(id);
        self.requests
            .insert(id, (self.now, prefix, u64::from(sizes.0)));
        let arrival = Arrival {
            id,
            customer: "c".into(),
            serves: "llm".into(),
            weights: std::iter::once(Name::from("m/1")).collect(),
            policy: Arc::new(policy),
            fingerprint: BlockKey::from_bytes(own),
            affinity: BlockKey::from_bytes(key),
            prompt_tokens: sizes.0 + sizes.1,
            shared_tokens: sizes.0,
            stored_tokens: std::iter::once(0).collect(),
            store_domain: None,
            output_tokens: 16,
            max_attempts: 1,
            resumable: false,
            software: None,
            objective: self.system.objective,
            allowed: None,
        };
        self.submit(entry, Event::Arrive(arrival), sizes.1);
    }

    fn submit(&mut self, entry: usize, event: Event, unshared_tokens: u32) {
        let mut effects = Vec::new();
        self.schedulers[entry].on(ms(self.now), event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Dispatch {
                    id,
                    attempt,
                    target,
                    ..
                } => {
                    let (_, prefix, shared_tokens) = self.requests[&id];
                    let target = self.targets.get_mut(&target).unwrap();
                    let cached = !target.cached.insert(prefix);
                    let shared_tokens = if cached { 0 } else { shared_tokens };
                    let reads = (shared_tokens + u64::from(unshared_tokens)) / READ_TOKENS_PER_MS;
                    target.busy_until = target.busy_until.max(self.now) + reads;
                    if target.cached.len() > 24 {
                        target.cached.pop_first();
                    }
                    self.first_tokens
                        .insert((target.busy_until + 60, entry, id, attempt));
                }
                Effect::Refuse { .. } => self.served.refused += 1,
                _ => {}
            }
        }
    }

    fn deliver_first_tokens(&mut self) {
        while let Some((at, entry, id, attempt)) = self.first_tokens.first().copied() {
            if at > self.now {
                return;
            }
            self.first_tokens.pop_first();
            let (arrived, ..) = self.requests[&id];
            let waited = at - arrived;
            if waited <= FIRST_TOKEN_LIMIT_MS {
                self.served.in_time += 1;
            } else if waited <= CALLER_PATIENCE_MS {
                self.served.late += 1;
            } else {
                self.served.abandoned += 1;
            }
            self.submit(entry, Event::FirstToken { id, attempt }, 0);
            let outcome = AttemptOutcome::Done;
            let ended = Event::AttemptEnded {
                id,
                attempt,
                outcome,
            };
            self.submit(entry, ended, 0);
        }
    }

    /// Runs the load and returns what callers got.
    pub fn run(system: System, seed: u64) -> Served {
        let mut simulation = Self::new(system);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut id = 0;
        for now in 0..system.load_s * 1_000 {
            simulation.now = now;
            simulation.deliver_first_tokens();
            if now.is_multiple_of(system.load_interval_ms) {
                simulation.exchange_loads();
            }
            if now.is_multiple_of(TICK_MS) {
                for n in 0..system.schedulers {
                    simulation.submit(n, Event::Tick, 0);
                }
            }
            if rng.f64() < system.rate / 1_000.0 {
                id += 1;
                let large = rng.f64() < 0.35;
                // Most large prompts start with the same prefix.
                let hot = large && rng.f64() < 0.7;
                let index = match (hot, large) {
                    (true, _) => 0,
                    (false, true) => rng.u64(1..40),
                    (false, false) => rng.u64(0..200),
                };
                let sizes = if large { (8_600, 2_900) } else { (1_500, 500) };
                let prefix = index + if large { 1_000 } else { 0 };
                let scheduler = simulation.scheduler_for(prefix, &mut rng);
                simulation.arrive(scheduler, id, prefix, sizes);
            }
        }
        let served = simulation.served;
        let all = served.in_time + served.late + served.abandoned + served.refused;
        assert!(all > system.load_s * 50, "too few requests arrived: {all}");
        served
    }
}

/// Failure domain of the target or scheduler with this number.
fn domain_name(n: usize, domains: usize) -> Name {
    (n % domains.max(1)).to_string().into()
}
