//! Random events against the scheduler. After each event, the test checks that:
//!
//! - no request goes to a target that is unlisted, leaving, unreachable or evacuated,
//! - no request that must not run twice is dispatched again after a target received it,
//! - no quarantined request is dispatched,
//! - each request ends once, and a refusal says truthfully whether it may have run,
//! - retries and hedges stay within their budget, and no slot stays counted without an attempt.

#[path = "machine/checked_scheduler.rs"]
mod checked_scheduler;
#[path = "machine/step.rs"]
mod step;

use std::sync::LazyLock;

use checked_scheduler::CheckedScheduler;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{StateMachineTest, prop_state_machine};
use step::{Step, Steps};

struct SchedulerMachine;

impl StateMachineTest for SchedulerMachine {
    type SystemUnderTest = CheckedScheduler;
    type Reference = Steps;

    fn init_test((): &()) -> CheckedScheduler {
        CheckedScheduler::new()
    }

    fn apply(mut checked: CheckedScheduler, (): &(), step: Step) -> CheckedScheduler {
        checked.step(step);
        checked
    }

    fn teardown(checked: CheckedScheduler, (): ()) {
        checked.finish();
    }
}

fn short_run() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_203),
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}

static SEED: LazyLock<u64> = LazyLock::new(|| {
    let given = std::env::var("GUAVAHOLD_SEED").ok();
    let seed = given.and_then(|s| s.parse().ok());
    let seed = seed.unwrap_or_else(|| fastrand::u64(..));
    println!("GUAVAHOLD_SEED={seed}");
    seed
});

fn long_run() -> Config {
    Config {
        cases: 20_000,
        rng_seed: RngSeed::Fixed(*SEED),
        ..short_run()
    }
}

prop_state_machine! {
    #![proptest_config(short_run())]
    #[test]
    fn random_events(sequential 1..150 => SchedulerMachine);
}

prop_state_machine! {
    #![proptest_config(long_run())]
    #[test]
    #[ignore = "long run"]
    fn random_events_long(sequential 1..400 => SchedulerMachine);
}
