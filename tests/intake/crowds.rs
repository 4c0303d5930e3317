//! Random crowds.

use crate::crowd::{Crowd, Summary};

/// Plays random crowds, one for each seed, and sums up what happened.
fn play(seeds: impl IntoIterator<Item = u64>) -> Summary {
    let mut sum = Summary::default();
    for seed in seeds {
        println!("seed {seed}");
        let summary = Crowd::new(seed).play();
        sum.granted += summary.granted;
        sum.waits += summary.waits;
        sum.evictions += summary.evictions;
        sum.refusals += summary.refusals;
    }
    sum
}

#[test]
fn intake_keeps_its_bounds_before_random_crowds() {
    let sum = play(1..=12);
    println!("{sum:?}");
    assert!(sum.granted > 10_000, "the crowds hardly send: {sum:?}");
    assert!(sum.waits > 500, "nothing waits: {sum:?}");
    assert!(sum.evictions > 500, "nothing is evicted: {sum:?}");
    assert!(sum.refusals > 500, "nothing is refused: {sum:?}");
}

/// Plays 500 seeds from the one that `INTAKE_SEED` names.
#[test]
#[ignore = "takes minutes"]
fn intake_keeps_its_bounds_with_many_seeds() {
    let first = std::env::var("INTAKE_SEED").map_or(1_000, |text| text.parse().unwrap());
    play(first..first + 500);
}
