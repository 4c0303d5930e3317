//! Random runs and recorded traces of the store's index.

#[path = "store_support/fake_disk.rs"]
mod fake_disk;
#[path = "store_support/world.rs"]
mod world;

use std::fmt::Write;
use std::time::Duration;

use guavahold::store::index::{Event, Index, IndexConfig};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use serde::Deserialize;
use world::{Step, World};

const CI_SEED: u64 = 20_261_203;
const CI_CASES: u32 = 512;
const LONG_CASES: u32 = 50_000;

const CFG: IndexConfig = IndexConfig {
    disk_bytes: 12,
    memory_bytes: 5,
    seed: 7,
};

/// Any step may come at any time.
pub struct AnyOrder;

impl ReferenceStateMachine for AnyOrder {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Step> {
        let key = 0..4_u8;
        let customer = prop_oneof![9 => Just(0_u8), 1 => Just(1_u8)];
        let parent = proptest::option::of(0..4_u8);
        prop_oneof![
            8 => (key.clone(), customer.clone(), parent, 1..5_u64).prop_map(
                |(key, customer, parent, bytes)| Step::Begin { key, customer, parent, bytes }
            ),
            8 => any::<usize>().prop_map(Step::Staged),
            1 => any::<usize>().prop_map(Step::Fail),
            12 => any::<usize>().prop_map(Step::Work),
            1 => any::<usize>().prop_map(Step::FailRemoval),
            8 => (key.clone(), customer.clone())
                .prop_map(|(key, customer)| Step::Read { key, customer }),
            5 => any::<usize>().prop_map(Step::EndRead),
            1 => any::<usize>().prop_map(Step::Corrupt),
            4 => (key.clone(), customer)
                .prop_map(|(key, customer)| Step::Free { key, customer }),
            1 => proptest::collection::vec(key, 2..4).prop_map(Step::Chain),
            1 => Just(Step::Kill),
            1 => any::<u64>().prop_map(Step::PowerCut),
            1 => Just(Step::Tick),
            1 => Just(Step::Drain),
        ]
        .boxed()
    }

    fn apply(_state: (), _step: &Step) {}
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = AnyOrder;

    fn init_test(_state: &()) -> Self {
        Self::new(CFG)
    }

    fn apply(mut world: Self, _state: &(), step: Step) -> Self {
        world.step(&step);
        world
    }

    fn teardown(mut world: Self, _state: ()) {
        world.step(&Step::Drain);
    }
}

fn random_runs(cases: u32, seed: u64) {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let strategy = AnyOrder::sequential_strategy(1..120_usize);
    let mut runner = proptest::test_runner::TestRunner::new(config.clone());
    let run = |(state, steps, seen)| {
        World::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    };
    runner.run(&strategy, run).unwrap();
}

#[test]
fn index_random_runs() {
    random_runs(CI_CASES, CI_SEED);
}

/// A removal for an eviction was not yet synced when the block was freed.
#[test]
fn free_after_eviction_survives_power_cut() {
    let begin = |key, bytes| Step::Begin {
        key,
        customer: 0,
        parent: None,
        bytes,
    };
    for seed in 0..8 {
        let mut world = World::new(CFG);
        world.step(&begin(1, 4));
        world.step(&Step::Staged(0));
        world.step(&Step::Work(0));
        world.step(&begin(2, 12));
        world.step(&Step::Work(0));
        world.step(&Step::Free {
            key: 1,
            customer: 0,
        });
        world.step(&Step::Work(0));
        world.step(&Step::PowerCut(seed));
        world.step(&Step::Read {
            key: 1,
            customer: 0,
        });
    }
}

/// Long runs: `cargo test --release --test store_index -- --ignored --nocapture`, with the seed
/// in `STORE_SEED` to repeat one.
#[test]
#[ignore = "runs for minutes"]
fn index_random_runs_long() {
    let given = std::env::var("STORE_SEED")
        .ok()
        .and_then(|s| s.parse().ok());
    let seed = given.unwrap_or_else(|| fastrand::u64(..));
    println!("STORE_SEED={seed}");
    random_runs(LONG_CASES, seed);
}

/// One line of a trace.
#[derive(Deserialize)]
struct Line {
    at_ms: u64,
    event: Event,
}

fn replay(name: &str) -> String {
    let path = format!("{}/tests/traces/{name}.jsonl", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).unwrap();
    let cfg = IndexConfig {
        disk_bytes: 100,
        memory_bytes: 0,
        seed: 1,
    };
    let mut index = Index::new(cfg);
    let mut out = String::new();
    for line in text.lines() {
        let line: Line = serde_json::from_str(line).unwrap();
        let mut effects = Vec::new();
        index.on(Duration::from_millis(line.at_ms), line.event, &mut effects);
        index.check();
        for effect in effects {
            let text = serde_json::to_string(&effect).unwrap();
            writeln!(out, "{:>6} {text}", line.at_ms).unwrap();
        }
    }
    out
}

#[test]
fn replay_free_under_reader() {
    insta::assert_snapshot!(replay("store-free-under-reader"));
}

#[test]
fn replay_free_during_commit() {
    insta::assert_snapshot!(replay("store-free-during-commit"));
}

#[test]
fn replay_two_writers() {
    insta::assert_snapshot!(replay("store-two-writers"));
}

#[test]
fn replay_leaves_go_first() {
    insta::assert_snapshot!(replay("store-leaves-go-first"));
}

#[test]
fn replay_full_of_pinned_blocks() {
    insta::assert_snapshot!(replay("store-full-of-pinned-blocks"));
}
