//! Time of a scheduling decision and memory of the state; run with `--release -- --ignored
//! --nocapture`.

use std::time::Instant;

use guavahold::catalog::{Catalog, Customer, PriorityClass};
use guavahold::prelude::*;
use guavahold::scheduler::{
    AttemptOutcome, Effect, Event, RequestId, Scheduler, SchedulerSettings, TargetInfo,
};
use guavahold::target::LoadReport;

use crate::simulation::{arrival, key, ms, policy, report, target};

const MODELS: u64 = 4;

fn model(n: u64) -> Name {
    format!("model-{}", n % MODELS).into()
}

fn fleet(targets: u64) -> Vec<TargetInfo> {
    let info = |n| TargetInfo {
        serves: model(n),
        ..target(&format!("runner-{n}"), &format!("domain-{}", n % 31))
    };
    (0..targets).map(info).collect()
}

fn scheduler(targets: u64, customers: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerSettings::new("domain-0".into()));
    let mut effects = Vec::new();
    let mut catalog = Catalog::default();
    for n in 0..customers {
        let customer = Customer {
            share: 1,
            tokens: SmallVec::new(),
        };
        catalog
            .declarations
            .customers
            .insert(format!("customer-{n}").into(), customer);
    }
    scheduler.on(ms(0), Event::Catalog(Arc::new(catalog)), &mut effects);
    scheduler.on(ms(0), Event::Targets(fleet(targets)), &mut effects);
    for n in 0..targets {
        let event = Event::Report {
            target: format!("runner-{n}").into(),
            report: report(2),
        };
        scheduler.on(ms(1), event, &mut effects);
    }
    scheduler
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

struct Stopwatch {
    name: &'static str,
    times: Vec<u64>,
}

impl Stopwatch {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            times: Vec::new(),
        }
    }

    fn on(
        &mut self,
        scheduler: &mut Scheduler,
        now: Timestamp,
        event: Event,
        effects: &mut Vec<Effect>,
    ) {
        let start = Instant::now();
        scheduler.on(now, event, effects);
        self.times
            .push(u64::try_from(start.elapsed().as_nanos()).unwrap());
    }

    fn print(mut self) {
        self.times.sort_unstable();
        let at = |part: usize| self.times[self.times.len() * part / 1000];
        let max = self.times.last().unwrap();
        println!(
            "{{\"event\":\"{}\",\"n\":{},\"p50_ns\":{},\"p99_ns\":{},\"p999_ns\":{},\"max_ns\":{max}}}",
            self.name,
            self.times.len(),
            at(500),
            at(990),
            at(999),
        );
    }
}

/// Measures 200,000 arrivals from all customers while requests fill `load` percent of the slots, at
/// most all but eight, with load reports in between.
fn measure(targets: u64, customers: u64, load: u64) {
    println!("targets {targets}, customers {customers}, load {load}%");
    let mut scheduler = scheduler(targets, customers);
    let quick = policy(PriorityClass::Interactive, 800);
    let mut rng = fastrand::Rng::with_seed(11);
    let mut stopwatches = ["arrive", "first-token", "ended", "report", "tick"].map(Stopwatch::new);
    let mut live: Vec<(RequestId, u32)> = Vec::new();
    let mut effects = Vec::new();
    let wanted = usize::try_from(targets * 2 * load / 100).unwrap();
    let mut now = ms(10_000);
    for id in 0..200_000_u64 {
        now += Duration::from_micros(20);
        let mut req = arrival(id, &format!("customer-{}", rng.u64(..customers)), &quick);
        req.serves = model(rng.u64(..));
        req.affinity = key(rng.u64(..100_000));
        req.prompt_tokens = rng.u32(100..8_000);
        stopwatches[0].on(&mut scheduler, now, Event::Arrive(req), &mut effects);
        if live.len() >= wanted.min(usize::try_from(targets * 2 - 8).unwrap()) {
            let (id, attempt) = live.swap_remove(rng.usize(..live.len()));
            stopwatches[1].on(
                &mut scheduler,
                now,
                Event::FirstToken { id, attempt },
                &mut effects,
            );
            let outcome = AttemptOutcome::Done;
            let event = Event::AttemptEnded {
                id,
                attempt,
                outcome,
            };
            stopwatches[2].on(&mut scheduler, now, event, &mut effects);
        }
        if id % 4 == 0 {
            let n = rng.u64(..targets);
            let target: Name = format!("runner-{n}").into();
            let running = scheduler.in_flight(&target).unwrap();
            let report = LoadReport {
                running,
                ..report(2)
            };
            stopwatches[3].on(
                &mut scheduler,
                now,
                Event::Report { target, report },
                &mut effects,
            );
        }
        if id % 250 == 0 {
            stopwatches[4].on(&mut scheduler, now, Event::Tick, &mut effects);
        }
        for effect in effects.drain(..) {
            if let Effect::Dispatch { id, attempt, .. } = effect {
                live.push((id, attempt));
            }
        }
    }
    println!("waiting {}, running {}", scheduler.queued(), live.len());
    for stopwatch in stopwatches {
        stopwatch.print();
    }
}

#[test]
#[ignore = "measurement"]
fn decision_time() {
    measure(12_000, 8_600, 50);
    measure(12_000, 8_600, 300);
    measure(3_000, 8_600, 50);
    let mut scheduler = scheduler(12_000, 8_600);
    let mut list = Stopwatch::new("list");
    for n in 0..20 {
        let mut fleet = fleet(12_000);
        fleet.truncate(12_000 - n * 10);
        list.on(
            &mut scheduler,
            ms(20_000),
            Event::Targets(fleet),
            &mut Vec::new(),
        );
    }
    list.print();
}

#[test]
#[ignore = "measurement"]
fn state_size() {
    // Sizes grow, since memory freed after a large one would hide the growth of a small one.
    for targets in [3_000, 6_000, 12_000] {
        let before = resident_kib();
        let scheduler = scheduler(targets, 0);
        let kib = resident_kib() - before;
        println!(
            "{{\"targets\":{targets},\"kib\":{kib},\"bytes_each\":{}}}",
            kib * 1024 / targets
        );
        std::mem::forget(scheduler);
    }
    for customers in [2_150, 4_300, 8_600] {
        let mut scheduler = scheduler(4, 0);
        let patient = policy(PriorityClass::Patient, 60_000);
        let before = resident_kib();
        for id in 0..customers {
            let mut req = arrival(id, &format!("customer-{id}"), &patient);
            req.serves = model(id);
            scheduler.on(ms(10), Event::Arrive(req), &mut Vec::new());
        }
        let kib = resident_kib() - before;
        println!(
            "{{\"customers_waiting\":{customers},\"waiting\":{},\"kib\":{kib},\"bytes_each\":{}}}",
            scheduler.queued(),
            kib * 1024 / customers
        );
        std::mem::forget(scheduler);
    }
}
