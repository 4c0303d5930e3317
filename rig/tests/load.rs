//! Load tool: schedules, their lower bounds and one short run.

use std::time::Duration;

use guavahold_rig::load::{
    Arrival, FaultPlan, LoadOptions, Profile, RequestKind, RouterKind, Schedule, chat_body,
    recompute_floor, run,
};

const SCHEDULE_LENGTH: Duration = Duration::from_secs(10);

fn turn(at: u64, conversation: u64, turns: &[usize]) -> Arrival {
    Arrival {
        intended_start: Duration::from_secs(at),
        customer: 0,
        kind: RequestKind::Turn,
        conversation,
        turn_bytes: turns.to_vec(),
    }
}

#[test]
fn generate_same_seed_gives_same_schedule() {
    let generate = |seed| {
        let schedule = Schedule::generate(&Profile::kammitsa(), seed, SCHEDULE_LENGTH, 1.0, 1.0);
        format!("{:?}", schedule.arrivals)
    };
    assert_eq!(generate(7), generate(7));
    assert_ne!(generate(7), generate(8));
}

/// Requests of the other customers and of customer 0, over several seeds.
fn other_and_surging_requests(surge: f64) -> (usize, usize) {
    let (mut others, mut surging) = (0, 0);
    for seed in 0..20 {
        let schedule = Schedule::generate(&Profile::kammitsa(), seed, SCHEDULE_LENGTH, 1.0, surge);
        let of_customer = schedule.arrivals.iter().filter(|a| a.customer == 0).count();
        others += schedule.arrivals.len() - of_customer;
        surging += of_customer;
    }
    (others, surging)
}

#[test]
fn generate_surge_multiplies_requests_of_customer_0() {
    let (others, surging) = other_and_surging_requests(1.0);
    let (others_beside, surged) = other_and_surging_requests(10.0);
    println!("others {others} and {others_beside}, customer 0 {surging} and {surged}");
    assert!(surged > 3 * surging, "customer 0: {surging} and {surged}");
    // The others' arrivals are drawn anew, at the same rate.
    let difference = others.abs_diff(others_beside);
    assert!(
        difference * 10 < others,
        "others: {others} and {others_beside}"
    );
}

#[test]
fn recompute_floor_counts_shared_blocks_once() {
    let profile = Profile::kammitsa();
    let schedule = Schedule {
        arrivals: vec![turn(0, 1, &[4096]), turn(1, 2, &[4096])],
    };
    let floor = recompute_floor(&profile, &schedule);
    let shared = profile.shared_blocks as u64 * 1024;
    assert_eq!(floor.prompt_tokens - floor.computed_tokens, shared);
}

#[test]
fn chat_body_of_later_turn_extends_earlier_one() {
    let profile = Profile::kammitsa();
    let text = |turns: &[usize]| {
        let body = chat_body(&profile, &turn(0, 1, turns));
        body["messages"].to_string()
    };
    let (first, second) = (text(&[100]), text(&[100, 200]));
    assert!(second.starts_with(first.trim_end_matches(']')));
}

#[test]
fn run_gives_every_caller_its_own_response_when_an_engine_is_killed() {
    let profile = Profile {
        engines: (2, 1),
        services: 1,
        ..Profile::kammitsa()
    };
    let options = LoadOptions {
        profile,
        router: RouterKind::System,
        fault: FaultPlan::EngineKilled,
        seed: 3,
        length: Duration::from_secs(3),
        rate: 0.3,
        surge: 1.0,
        entries: 2,
    };
    let result = run(&options).unwrap();
    assert_eq!(result.wrong, 0);
    assert!(result.most_runs_of_key <= 1, "{}", result.most_runs_of_key);
    let ends: usize = result.ends.values().sum();
    assert!(ends >= result.requests, "{:?}", result.ends);
}
