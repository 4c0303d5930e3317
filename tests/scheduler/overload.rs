//! Admission and placement under overload and faults, on virtual time.

use guavahold::catalog::PriorityClass;
use guavahold::prelude::*;
use guavahold::scheduler::{Arrival, SchedulerSettings};

use crate::simulation::{Outcome, Simulation, arrival, count, ms, p95, policy};

/// Requests per second that eight engines with four slots serve: one occupies a slot for 0.02 s of
/// prefill and 0.1 s of generation.
const CAPACITY_PER_S: f64 = 8.0 * 4.0 / 0.12;
/// Start of the arrivals that are counted, after a warm-up.
const MEASURE_FROM: Timestamp = ms_const(2_000);
/// End of the arrivals.
const MEASURE_TO: Timestamp = ms_const(12_000);

const fn ms_const(n: u64) -> Timestamp {
    Timestamp::from_millis(n)
}

fn settings() -> SchedulerSettings {
    let mut cfg = SchedulerSettings::new("domain-0".into());
    cfg.seed = 7;
    cfg
}

fn simulation() -> Simulation {
    Simulation::new(settings(), Simulation::fleet(4, 2, 4))
}

fn customer(id: u64) -> &'static str {
    match id % 3 {
        0 => "a",
        1 => "b",
        _ => "c",
    }
}

/// A simulation of arrivals at `factor` times the capacity.
fn loaded(factor: f64) -> Simulation {
    let mut simulation = simulation();
    let quick = policy(PriorityClass::Interactive, 800);
    simulation.add_poisson_arrivals(1, CAPACITY_PER_S * factor, (ms(0), MEASURE_TO), |id| {
        arrival(id, customer(id), &quick)
    });
    simulation
}

#[test]
fn goodput_at_twice_capacity() {
    let mut at_capacity = loaded(1.0);
    at_capacity.run_until(MEASURE_TO + ms(5_000));
    let mut twice = loaded(2.0);
    twice.run_until(MEASURE_TO + ms(5_000));
    let (one, two) = (
        at_capacity.count_in_time((MEASURE_FROM, MEASURE_TO)),
        twice.count_in_time((MEASURE_FROM, MEASURE_TO)),
    );
    println!("good at capacity {one}, at twice {two}");
    assert!(two * 100 >= one * 95, "{two} of {one}");
    twice.assert_idle();
}

#[test]
fn refusals_are_immediate() {
    let mut simulation = loaded(2.0);
    simulation.run_until(MEASURE_TO + ms(5_000));
    let refused = simulation
        .arrived_between((MEASURE_FROM, MEASURE_TO))
        .filter(|r| r.refusal().is_some());
    let refused: Vec<_> = refused.collect();
    let late = refused
        .iter()
        .filter(|r| r.end.as_ref().unwrap().0 > r.arrived);
    let (refused, late) = (refused.len(), late.count());
    println!("refused {refused}, later than on arrival {late}");
    assert!(refused > 0);
    assert!(late * 100 <= refused, "{late} of {refused}");
}

#[test]
fn admitted_requests_meet_their_deadline() {
    let mut simulation = loaded(2.0);
    simulation.run_until(MEASURE_TO + ms(5_000));
    let done = simulation.arrived_between((MEASURE_FROM, MEASURE_TO));
    let done: Vec<_> = done
        .filter(|r| matches!(r.end, Some((_, Outcome::Done))))
        .collect();
    let late = done.iter().filter(|r| !r.is_in_time()).count();
    println!("done {}, late {late}", done.len());
    assert!(late * 100 <= done.len(), "{late} of {}", done.len());
}

#[test]
fn callers_retrying_as_advised_are_served() {
    let mut simulation = loaded(2.0);
    simulation.retry_as_advised = true;
    simulation.run_until(MEASURE_TO + ms(120_000));
    let all = simulation.records.len();
    let refused = simulation
        .records
        .values()
        .filter(|r| r.refusal().is_some())
        .count();
    let mut seen = std::collections::BTreeMap::new();
    for record in simulation.records.values() {
        let times = seen.entry(record.arrival.fingerprint).or_insert((0, 0));
        times.0 += 1;
        times.1 += u32::from(record.refusal().is_some());
    }
    let retried = seen.values().filter(|t| t.1 >= 1).count();
    let again = seen.values().filter(|t| t.1 >= 2).count();
    println!("arrivals {all}, refused {refused}, retried {retried}, refused again {again}");
    assert!(again * 100 <= retried * 5, "{again} of {retried}");
    simulation.assert_idle();
}

/// Time to first token of the small customer (95th percentile) while the large one sends `factor`
/// times its share.
fn small_customer_p95(factor: f64) -> Duration {
    let mut simulation = Simulation::new(settings(), Simulation::fleet(4, 5, 4));
    simulation.set_shares(&[("large", 1), ("small", 1)]);
    let quick = policy(PriorityClass::Interactive, 2_000);
    // A request with a prompt of 2,000 tokens occupies a slot for 0.3 s.
    let capacity = 20.0 * 4.0 / 0.3;
    let make = |id, customer| Arrival {
        prompt_tokens: 2_000,
        ..arrival(id, customer, &quick)
    };
    let large = capacity * 0.5 * factor;
    simulation.add_poisson_arrivals(1, large, (ms(0), MEASURE_TO), |id| make(id, "large"));
    simulation.add_poisson_arrivals(2, capacity * 0.2, (ms(0), MEASURE_TO), |id| {
        make(id, "small")
    });
    simulation.run_until(MEASURE_TO + ms(5_000));
    let small = simulation
        .arrived_between((MEASURE_FROM, MEASURE_TO))
        .filter(|r| &*r.arrival.customer == "small");
    let waits = small.map(|r| match r.first_token {
        Some(at) => at.saturating_sub(r.arrived),
        None => ms(2_000),
    });
    p95(waits.collect())
}

#[test]
fn small_customer_keeps_its_latency_beside_a_large_one() {
    let (fair, greedy) = (small_customer_p95(1.0), small_customer_p95(10.0));
    println!("small customer's p95: {fair:?} beside 1x, {greedy:?} beside 10x");
    assert!(
        greedy <= fair.mul_f64(1.1) + ms(10),
        "{fair:?} to {greedy:?}"
    );
}

#[test]
fn classes_do_not_starve_each_other() {
    let mut simulation = simulation();
    let quick = policy(PriorityClass::Interactive, 800);
    let patient = policy(PriorityClass::Patient, 20_000);
    simulation.add_poisson_arrivals(1, CAPACITY_PER_S, (ms(0), MEASURE_TO), |id| {
        arrival(id, "a", &quick)
    });
    simulation.add_poisson_arrivals(2, CAPACITY_PER_S, (ms(0), MEASURE_TO), |id| {
        arrival(id, "a", &patient)
    });
    simulation.run_until(MEASURE_TO + ms(30_000));
    let good = |class| {
        let records = simulation
            .arrived_between((MEASURE_FROM, MEASURE_TO))
            .filter(|r| r.arrival.policy.class == class);
        f64::from(count(records.filter(|r| r.is_in_time())))
    };
    let capacity = CAPACITY_PER_S * 10.0;
    let (quick, patient) = (
        good(PriorityClass::Interactive) / capacity,
        good(PriorityClass::Patient) / capacity,
    );
    println!("share of capacity: interactive {quick:.3}, patient {patient:.3}");
    assert!(quick > 0.55, "{quick}");
    assert!(patient > 0.07, "{patient}");
}

#[test]
fn slow_targets_get_fewer_requests() {
    let run = |slowness: f64| {
        let mut fleet = Simulation::fleet(2, 5, 4);
        fleet[0].slowness = slowness;
        fleet[5].slowness = slowness;
        let mut simulation = Simulation::new(settings(), fleet);
        let quick = policy(PriorityClass::Interactive, 800);
        let rate = 10.0 * 4.0 / 0.12;
        simulation
            .add_poisson_arrivals(1, rate, (ms(0), MEASURE_TO), |id| arrival(id, "a", &quick));
        simulation.run_until(MEASURE_TO + ms(10_000));
        let attempts: u32 = simulation.records.values().map(|r| r.attempts).sum();
        let received = |n: &str| simulation.engines[n].received;
        let (slow, fast) = (received("engine-0-0"), received("engine-0-1"));
        assert!(slowness < 2.0 || slow * 20 <= fast, "{slow} beside {fast}");
        (
            simulation.count_in_time((MEASURE_FROM, MEASURE_TO)),
            attempts,
            count(simulation.records.values()),
        )
    };
    let (all, _, _) = run(1.0);
    let (slow, attempts, requests) = run(10.0);
    println!("good {slow} of {all}, attempts {attempts} for {requests} requests");
    // Two of ten targets lose nine tenths of their speed: 18% of the capacity.
    assert!(slow * 100 >= all * (82 - 5), "{slow} of {all}");
    assert!(attempts * 10 <= requests * 11);
}

#[test]
fn lost_domain_costs_only_its_capacity() {
    let run = |down: bool| {
        let mut simulation = loaded(1.5);
        simulation.run_until(ms(2_500));
        if down {
            simulation.set_domain_down("domain-3", true);
        }
        simulation.run_until(MEASURE_TO + ms(10_000));
        let attempts: u32 = simulation.records.values().map(|r| r.attempts).sum();
        let ratio = f64::from(attempts) / f64::from(count(simulation.records.values()));
        let late = simulation.records.values().filter(|r| r.is_late());
        assert_eq!(count(late), 0, "answered after the deadline");
        (simulation.count_in_time((ms(3_000), MEASURE_TO)), ratio)
    };
    let (all, _) = run(false);
    let (good, ratio) = run(true);
    println!("good {good} of {all}, {ratio:.4} attempts a request");
    // One of four failure domains is lost: 25% of the capacity.
    assert!(good * 100 >= all * (75 - 5), "{good} of {all}");
    assert!(ratio <= 1.1, "{ratio}");
}

#[test]
fn recovered_domain_is_ramped_up() {
    let mut simulation = loaded(0.9);
    simulation.run_until(ms(2_500));
    simulation.set_domain_down("domain-3", true);
    simulation.run_until(ms(6_000));
    simulation.set_domain_down("domain-3", false);
    let load = |simulation: &Simulation| {
        let names = ["engine-3-0", "engine-3-1"];
        names
            .iter()
            .map(|n| simulation.scheduler.in_flight(n).unwrap())
            .max()
            .unwrap()
    };
    let mut back = ms(6_000);
    while load(&simulation) == 0 {
        back += ms(50);
        assert!(back < ms(25_000), "the recovered domain gets no work");
        simulation.run_until(back);
    }
    let mut most = 0;
    for step in 1..10 {
        simulation.run_until(back + ms(100 * step));
        most = most.max(load(&simulation));
    }
    println!(
        "back after {:?}, most in its first second {most}",
        back.saturating_sub(ms(6_000))
    );
    assert!(most <= 2, "{most}");
}

/// Half more requests than the targets can serve, all with a deadline far beyond their objective. A
/// queue in the order of arrival would answer nearly all of them late; here those that can still be
/// in time go first, and those without a prospect are refused long before their deadline.
#[test]
fn overload_beyond_objective_serves_most_callers_in_time() {
    let mut simulation = simulation();
    let patient = policy(PriorityClass::Standard, 8_000);
    let objective = ms(800);
    simulation.add_poisson_arrivals(1, 1.5 * CAPACITY_PER_S, (ms(0), MEASURE_TO), |id| Arrival {
        objective,
        ..arrival(id, "a", &patient)
    });
    simulation.run_until(MEASURE_TO + ms(20_000));
    let (mut all, mut in_time, mut late, mut refused_late) = (0, 0, 0, 0);
    for record in simulation.arrived_between((MEASURE_FROM, MEASURE_TO)) {
        all += 1;
        let first = record
            .first_token
            .map(|at| at.saturating_sub(record.arrived));
        match (first, &record.end) {
            (Some(first), _) if first <= objective => in_time += 1,
            (Some(_), _) => late += 1,
            (None, Some((at, _))) if *at > record.arrived + ms(4_010) => refused_late += 1,
            _ => {}
        }
    }
    println!("{all} requests: {in_time} in time, {late} late, {refused_late} refused late");
    assert!(in_time * 100 >= all * 50, "{in_time} of {all} in time");
    assert!(
        refused_late * 100 <= all * 5,
        "{refused_late} of {all} refused late"
    );
    simulation.assert_idle();
}

/// A refusal helps only a caller who can come back: one with little time stays queued as long as the
/// deadline can be met, one with much is refused at half of its time.
#[test]
fn overload_refuses_early_only_who_can_return() {
    let refused_after = |total: u64| {
        let mut simulation = simulation();
        let policy = Arc::new(guavahold::catalog::Policy {
            first_token_ms: 2_400,
            total_ms: total,
            ..guavahold::catalog::Policy::default()
        });
        let load = 3.0 * CAPACITY_PER_S;
        simulation.add_poisson_arrivals(1, load, (ms(0), MEASURE_TO), |id| Arrival {
            objective: ms(400),
            ..arrival(id, "a", &policy)
        });
        simulation.run_until(MEASURE_TO + ms(20_000));
        let records = simulation.arrived_between((MEASURE_FROM, MEASURE_TO));
        let refused = records.filter(|r| r.refusal().is_some());
        let waits = refused.filter_map(|r| Some(r.end.as_ref()?.0.saturating_sub(r.arrived)));
        waits.max().expect("some are refused")
    };
    assert!(refused_after(12_000) <= ms(1_210));
    assert!(refused_after(2_400) > ms(1_210));
}
