//! Replicas of the catalog under random partitions, restarts, platform outages, lost messages and
//! outdated events.

#[path = "catalog_cluster/cluster.rs"]
mod catalog_cluster;

use catalog_cluster::{Cluster, Step};
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const DOMAINS: usize = 3;
const ENTRIES: usize = 9;

struct RandomSteps;

impl ReferenceStateMachine for RandomSteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let domain = 0..DOMAINS;
        let entry = 0..ENTRIES;
        prop_oneof![
            8 => (1..30_u16).prop_map(Step::Pass),
            2 => (80..120_u16).prop_map(Step::Pass),
            6 => (1..4_u8).prop_map(Step::Accept),
            1 => (15..40_u8).prop_map(Step::Accept),
            1 => Just(Step::Race),
            2 => (domain.clone(), domain.clone()).prop_map(|(a, b)| Step::Cut(a, b)),
            2 => (domain.clone(), domain.clone()).prop_map(|(a, b)| Step::Heal(a, b)),
            2 => domain.clone().prop_map(Step::CutPlatform),
            2 => domain.clone().prop_map(Step::HealPlatform),
            2 => entry.clone().prop_map(Step::CutEntry),
            2 => entry.clone().prop_map(Step::HealEntry),
            1 => Just(Step::Down),
            2 => Just(Step::Up),
            1 => Just(Step::Slow),
            2 => Just(Step::Fast),
            2 => domain.prop_map(Step::Silence),
            2 => entry.clone().prop_map(Step::Restart),
            2 => (entry, 0..20_u8).prop_map(|(n, back)| Step::OldEvent(n, back)),
            1 => Just(Step::LosePeers),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

impl StateMachineTest for RandomSteps {
    type SystemUnderTest = Cluster;
    type Reference = Self;

    fn init_test((): &()) -> Cluster {
        Cluster::new(DOMAINS)
    }

    fn apply(mut cluster: Cluster, (): &(), step: Step) -> Cluster {
        cluster.apply(&step);
        cluster
    }

    fn teardown(mut cluster: Cluster, (): ()) {
        cluster.apply(&Step::Pass(90));
    }
}

/// Runs `cases` random cases and panics with the shortest failing sequence of steps.
fn run(cases: u32, seed: u64, steps: std::ops::Range<usize>) {
    use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let strategy = RandomSteps::sequential_strategy(steps);
    let done = runner.run(&strategy, |(state, transitions, seen)| {
        RandomSteps::test_sequential(config.clone(), state, transitions, seen);
        Ok(())
    });
    if let Err(err) = done {
        panic!("seed {seed}: {err}");
    }
}

#[test]
fn replicas_never_regress_and_catch_up_in_time() {
    run(24, 9, 1..40);
}

/// `GUAVAHOLD_SEED` and `GUAVAHOLD_CASES` set the seed and the number of cases.
#[test]
#[ignore = "long"]
fn replicas_never_regress_and_catch_up_in_time_long() {
    let number = |name: &str| std::env::var(name).ok().and_then(|v| v.parse().ok());
    let seed = number("GUAVAHOLD_SEED").unwrap_or_else(|| fastrand::u64(..));
    let cases = number("GUAVAHOLD_CASES").unwrap_or(2000);
    println!("seed {seed} cases {cases}");
    run(u32::try_from(cases).unwrap(), seed, 1..80);
}
