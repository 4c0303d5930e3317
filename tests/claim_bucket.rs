//! Random simulations of the claims of one time bucket: no request runs twice.

#[path = "support/all.rs"]
mod support;

use std::marker::PhantomData;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use support::claims::{ClaimSimulation, ENTRIES, FROM_NEWEST, KEYS, Step};

/// Seed of the short tests; the long ones take `PROPTEST_RNG_SEED` or a random seed.
const SEED: u64 = 20_261_203;

fn any_claim() -> impl Strategy<Value = Step> {
    let choices = (0..ENTRIES, 0..KEYS, any::<bool>(), any::<bool>());
    choices.prop_map(|(entry, key, fresh, long)| Step::Claim {
        entry,
        key,
        fresh,
        long,
    })
}

/// A step on one of the newest writes or granted claims.
fn any_recent(make: impl Fn(usize) -> Step + 'static) -> impl Strategy<Value = Step> {
    (FROM_NEWEST..FROM_NEWEST + 4).prop_map(make)
}

fn any_delivery() -> impl Strategy<Value = Step> {
    (FROM_NEWEST..FROM_NEWEST + 4, any::<bool>())
        .prop_map(|(write, answered)| Step::DeliverWrite { write, answered })
}

fn any_entry(make: impl Fn(usize) -> Step + 'static) -> impl Strategy<Value = Step> {
    (0..ENTRIES).prop_map(make)
}

/// Steps seconds apart, with concurrent writes, lost answers, lost links and crashes.
#[derive(Clone, Debug)]
struct FaultSteps;

impl ReferenceStateMachine for FaultSteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => any_claim(),
            6 => any_delivery(),
            3 => any_recent(|write| Step::ReadBack { write }),
            4 => any_recent(|claim| Step::Dispatch { claim }),
            2 => any_recent(|claim| Step::Settle { claim }),
            1 => any_recent(|claim| Step::Release { claim }),
            1 => any_entry(|entry| Step::Kill { entry }),
            1 => any_entry(|entry| Step::ToggleLinks { entry }),
            3 => prop_oneof![Just(1_000), Just(9_000), Just(120_000)]
                .prop_map(|ms| Step::AdvanceClock { ms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Steps up to days apart, with garbage collection and changes of the retention.
#[derive(Clone, Debug)]
struct CollectionSteps;

impl ReferenceStateMachine for CollectionSteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => any_claim(),
            4 => any_delivery(),
            4 => any_recent(|claim| Step::Dispatch { claim }),
            1 => any_recent(|claim| Step::Settle { claim }),
            3 => any_entry(|entry| Step::Collect { entry }),
            2 => prop_oneof![Just(1_800), Just(86_400), Just(604_800)]
                .prop_map(|seconds| Step::SetRetention { seconds }),
            2 => prop_oneof![Just(600_000), Just(3_700_000), Just(87_000_000)]
                .prop_map(|ms| Step::AdvanceClock { ms }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Runs the simulation with the steps of `R`.
struct SimulationTest<R>(PhantomData<R>);

impl<R> StateMachineTest for SimulationTest<R>
where
    R: ReferenceStateMachine<State = (), Transition = Step>,
{
    type SystemUnderTest = ClaimSimulation;
    type Reference = R;

    fn init_test((): &()) -> ClaimSimulation {
        ClaimSimulation::new()
    }

    fn apply(mut simulation: ClaimSimulation, (): &(), step: Step) -> ClaimSimulation {
        simulation.apply(step);
        simulation
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
    fn bucket_state_runs_at_most_once_under_faults(
        sequential 1..120 => SimulationTest<FaultSteps>
    );

    #[test]
    fn bucket_state_runs_at_most_once_with_collection(
        sequential 1..80 => SimulationTest<CollectionSteps>
    );
}

prop_state_machine! {
    #![proptest_config(cases(50_000, ProptestConfig::default().rng_seed))]

    #[test]
    #[ignore = "long random run"]
    fn bucket_state_runs_at_most_once_under_faults_long(
        sequential 1..200 => SimulationTest<FaultSteps>
    );

    #[test]
    #[ignore = "long random run"]
    fn bucket_state_runs_at_most_once_with_collection_long(
        sequential 1..120 => SimulationTest<CollectionSteps>
    );
}
