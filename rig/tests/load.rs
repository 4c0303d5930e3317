//! Schedules and their lower bounds.

use std::time::Duration;

use guavahold_rig::load::{
    Arrival, FaultPlan, LoadOptions, Profile, RequestKind, RouterKind, Schedule, chat_body,
    recompute_floor, run,
};

const LENGTH: Duration = Duration::from_secs(10);

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
fn draw_same_seed_same_schedule() {
    let generate = |seed| {
        let schedule = Schedule::generate(&Profile::kammitsa(), seed, LENGTH, 1.0, 1.0);
        format!("{:?}", schedule.arrivals)
    };
    assert_eq!(generate(7), generate(7));
    assert_ne!(generate(7), generate(8));
}

#[test]
fn draw_surge_leaves_other_customers_alone() {
    let others = |surge| {
        let schedule = Schedule::generate(&Profile::kammitsa(), 7, LENGTH, 1.0, surge);
        let own = schedule.arrivals.iter().filter(|a| a.customer == 0).count();
        (schedule.arrivals.len() - own, own)
    };
    let (calm, surge) = (others(1.0), others(10.0));
    assert!(surge.1 > 3 * calm.1, "{surge:?} {calm:?}");
}

#[test]
fn floor_counts_shared_blocks_once() {
    let profile = Profile::kammitsa();
    let schedule = Schedule {
        arrivals: vec![turn(0, 1, &[4096]), turn(1, 2, &[4096])],
    };
    let floor = recompute_floor(&profile, &schedule);
    let shared = profile.shared_blocks as u64 * 1024;
    assert_eq!(floor.prompt_tokens - floor.computed_tokens, shared);
}

#[test]
fn prompt_of_later_turn_extends_earlier_one() {
    let profile = Profile::kammitsa();
    let text = |turns: &[usize]| {
        let body = chat_body(&profile, &turn(0, 1, turns));
        body["messages"].to_string()
    };
    let (first, second) = (text(&[100]), text(&[100, 200]));
    assert!(second.starts_with(first.trim_end_matches(']')));
}

#[test]
fn run_system_gives_every_caller_its_own_answer() {
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
