//! Random runs of the claims of one window.

#[path = "support/all.rs"]
mod support;

use std::marker::PhantomData;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use support::claims::{ENTRIES, FROM_END, KEYS, Step, World};

/// Seed of the bounded runs; the long ones take `PROPTEST_RNG_SEED` or a random seed.
const SEED: u64 = 20_261_203;

fn claims() -> impl Strategy<Value = Step> {
    let choices = (0..ENTRIES, 0..KEYS, any::<bool>(), any::<bool>());
    choices.prop_map(|(entry, key, fresh, long)| Step::Claim {
        entry,
        key,
        fresh,
        long,
    })
}

fn indexed(make: impl Fn(usize) -> Step + 'static) -> impl Strategy<Value = Step> {
    (FROM_END..FROM_END + 4).prop_map(make)
}

fn lands() -> impl Strategy<Value = Step> {
    (FROM_END..FROM_END + 4, any::<bool>())
        .prop_map(|(write, answered)| Step::Land { write, answered })
}

fn entries(make: impl Fn(usize) -> Step + 'static) -> impl Strategy<Value = Step> {
    (0..ENTRIES).prop_map(make)
}

/// Seconds in which many writes, losses and deaths meet.
#[derive(Clone, Debug)]
struct Busy;

impl ReferenceStateMachine for Busy {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => claims(),
            6 => lands(),
            3 => indexed(|write| Step::ReadBack { write }),
            4 => indexed(|claim| Step::Dispatch { claim }),
            2 => indexed(|claim| Step::Settle { claim }),
            1 => indexed(|claim| Step::Release { claim }),
            1 => entries(|entry| Step::Kill { entry }),
            1 => entries(|entry| Step::Cut { entry }),
            3 => prop_oneof![Just(1_000), Just(9_000), Just(120_000)]
                .prop_map(|ms| Step::Pass { ms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Hours in which claims are collected and operators change the retention.
#[derive(Clone, Debug)]
struct Aged;

impl ReferenceStateMachine for Aged {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => claims(),
            4 => lands(),
            4 => indexed(|claim| Step::Dispatch { claim }),
            1 => indexed(|claim| Step::Settle { claim }),
            3 => entries(|entry| Step::Collect { entry }),
            2 => prop_oneof![Just(1_800), Just(86_400), Just(604_800)]
                .prop_map(|seconds| Step::Retention { seconds }),
            2 => prop_oneof![Just(600_000), Just(3_700_000), Just(87_000_000)]
                .prop_map(|ms| Step::Pass { ms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Claims<R>(PhantomData<R>);

impl<R> StateMachineTest for Claims<R>
where
    R: ReferenceStateMachine<State = (), Transition = Step>,
{
    type SystemUnderTest = World;
    type Reference = R;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(step);
        world
    }
}

fn cases(cases: u32, rng_seed: RngSeed) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(cases(256, RngSeed::Fixed(SEED)))]

    #[test]
    fn shard_state_runs_at_most_once_when_busy(sequential 1..120 => Claims<Busy>);

    #[test]
    fn shard_state_runs_at_most_once_when_collected(sequential 1..80 => Claims<Aged>);
}

prop_state_machine! {
    #![proptest_config(cases(50_000, ProptestConfig::default().rng_seed))]

    #[test]
    #[ignore = "long random run"]
    fn shard_state_long_run_when_busy(sequential 1..200 => Claims<Busy>);

    #[test]
    #[ignore = "long random run"]
    fn shard_state_long_run_when_collected(sequential 1..120 => Claims<Aged>);
}
