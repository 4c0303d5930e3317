//! Which stored context entries fetch and which they free, without a network.

#[path = "retirement/simulation.rs"]
mod simulation;

use std::time::Duration;

use guavahold::context_store::{
    FETCH_LEASE, FREE_DELAY, FetchLease, RetiredVersions, RetirementTracker,
};
use guavahold::gateway::{HUB_INTERVAL, INTERVAL_JITTER, ROUND_TRIP_INTERVAL, STATUS_INTERVAL};
use guavahold::name_hash::name_hash;
use guavahold::prelude::Name;
use simulation::{Simulation, SimulationCfg};

/// Seeds that CI plays.
const SEEDS: u64 = 300;
/// First seed of those that CI plays with an entry that joins: 656 finds quorums that may miss each other.
const FIRST_JOIN_SEED: u64 = 400;
/// Seeds that the long run plays.
const LONG_SEEDS: u64 = 5_000;

const RETIRED: RetiredVersions = RetiredVersions {
    all_below: 2,
    half_below: 3,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

fn record(tracker: &mut RetirementTracker, at: Duration, peer: &str, retired: RetiredVersions) {
    tracker.record_report(at, name_hash(peer), retired);
}

/// A tracker that knows what was retired before its process started.
fn recalled() -> RetirementTracker {
    let mut tracker = RetirementTracker::default();
    tracker.recall(ms(0), 0);
    tracker
}

fn lease(tracker: &RetirementTracker, now: Duration, others: &[&str]) -> FetchLease {
    tracker.fetch_lease(now, Some(&names(others)))
}

/// Guards against context that is freed in a store while an entry that is cut off, stood still, was
/// restarted or is told of it late still fetches it.
#[test]
fn retirement_frees_no_part_during_a_fetch() {
    for seed in 0..SEEDS {
        Simulation::play(&SimulationCfg::default(), seed).assert_sound(seed);
    }
}

/// The same while an entry joins, which others learn late or not at all.
#[test]
fn retirement_frees_no_part_during_a_fetch_while_an_entry_joins() {
    for seed in FIRST_JOIN_SEED..FIRST_JOIN_SEED + SEEDS {
        Simulation::play(&join_cfg(seed), seed).assert_sound(seed);
    }
}

/// Two to nine entries, the last of which joins later.
fn join_cfg(seed: u64) -> SimulationCfg {
    SimulationCfg {
        entries: 2 + usize::try_from(seed % 8).unwrap(),
        newcomer: true,
        ..SimulationCfg::default()
    }
}

/// Guards against leases and waits that nobody outlives: in a sound system entries fetch, and what is
/// retired is freed; one entry that is cut off for good prevents neither.
#[test]
fn retirement_frees_although_an_entry_is_cut_off() {
    for seed in 0..SEEDS / 10 {
        let cfg = SimulationCfg {
            faults: false,
            silent_entry: true,
            ..SimulationCfg::default()
        };
        let outcome = Simulation::play(&cfg, seed);
        outcome.assert_sound(seed);
        assert!(outcome.fetches > 100, "seed {seed}: {outcome:?}");
        assert!(outcome.frees > 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
#[ignore = "long"]
fn retirement_long() {
    let seed = std::env::var("RETIREMENT_SEED").ok();
    let first = seed.map_or_else(|| fastrand::u64(..u64::MAX / 2), |s| s.parse().unwrap());
    println!("from seed {first}");
    let mut freed = 0;
    for seed in first..first + LONG_SEEDS {
        let outcome = Simulation::play(&SimulationCfg::default(), seed);
        outcome.assert_sound(seed);
        Simulation::play(&join_cfg(seed), seed).assert_sound(seed);
        freed += u64::from(outcome.frees > 0);
    }
    println!("{LONG_SEEDS} seeds, freed in {freed}");
}

/// Time that a message takes to arrive and be applied.
const TRANSIT: Duration = Duration::from_millis(100);

/// Guards against leases that end between two messages of a sound system. docs/design/context-leases.md
/// has the same sums.
#[test]
fn fetch_lease_outlasts_the_exchange_of_reports() {
    let longest = |interval: Duration| interval.mul_f64(1.0 + INTERVAL_JITTER);
    let small = 2 * (ROUND_TRIP_INTERVAL + longest(STATUS_INTERVAL) + TRANSIT);
    // From an entry to its hub, to another hub, and to an entry there; each repeats the reading of the
    // next one's clock.
    let large = 3 * 2 * (longest(HUB_INTERVAL) + TRANSIT);
    println!("small {small:?}, large {large:?} of {FETCH_LEASE:?}");
    assert!(small < FETCH_LEASE && large < FETCH_LEASE);
}

/// Guards against an entry that has just started, knows no other entry yet and takes itself for the
/// majority: it would fetch what the others have agreed to free.
#[test]
fn fetch_lease_needs_reports_of_most_listed_entries() {
    let mut tracker = recalled();
    let unread = tracker.fetch_lease(ms(0), None::<&Vec<Name>>);
    assert_eq!(unread.until, None, "the list has not been read");
    let others = ["b", "c", "d", "e"];
    record(&mut tracker, ms(1), "b", RetiredVersions::default());
    assert_eq!(lease(&tracker, ms(2), &others).until, None);
    record(&mut tracker, ms(2), "c", RetiredVersions::default());
    let three_of_five = lease(&tracker, ms(3), &others);
    assert_eq!(three_of_five.until, Some(ms(1) + FETCH_LEASE));
    let unlisted = lease(&tracker, ms(3), &["x", "y", "z", "u"]);
    assert_eq!(
        unlisted.until, None,
        "reports of entries that are not listed"
    );
    assert!(lease(&recalled(), ms(0), &[]).until.is_some(), "alone");
    let mut half = recalled();
    record(&mut half, ms(1), "b", RetiredVersions::default());
    let two_of_four = lease(&half, ms(2), &["b", "c", "d"]);
    assert_eq!(two_of_four.until, None, "half of them");
}

/// Guards against an entry that goes by the list from before another one joined or was removed, and
/// fetches what those free that go by the new one.
#[test]
fn fetch_lease_and_frees_have_an_entry_in_common_although_lists_differ_by_one() {
    let fetching = |listed| lease(&recalled(), ms(0), &vec!["x"; listed - 1]).needed;
    let freeing = |listed| (1..=listed).find(|n| frees(*n, listed)).unwrap();
    for listed in 1..14 {
        let joined = listed + 1;
        assert!(fetching(listed) + freeing(joined) > joined, "{listed}");
        assert!(fetching(joined) + freeing(listed) > joined, "{listed}");
        assert!(fetching(listed) + freeing(listed) > listed, "{listed}");
    }
}

/// Whether context is freed once `retiring` of the `listed` entries, this one included, have retired it.
fn frees(retiring: usize, listed: usize) -> bool {
    let others: Vec<Name> = (1..listed)
        .map(|n| Name::from(format!("entry-{n}")))
        .collect();
    let mut tracker = recalled();
    tracker.retire(RETIRED);
    let freed = [FREE_DELAY, FREE_DELAY * 2].map(|now| {
        for name in &others[..retiring - 1] {
            tracker.record_report(now, name_hash(name), RETIRED);
        }
        tracker.freeable(now, &others)
    });
    freed[1] == RETIRED
}

/// Guards against an entry that goes on fetching for ever once it has heard of the others.
#[test]
fn fetch_lease_ends_with_the_oldest_report_that_it_needs() {
    let mut tracker = recalled();
    for (at, peer) in [(100, "b"), (900, "c"), (500, "d")] {
        record(&mut tracker, ms(at), peer, RetiredVersions::default());
    }
    let held = lease(&tracker, ms(1_000), &["b", "c", "d", "e"]);
    assert_eq!(held.until, Some(ms(500) + FETCH_LEASE));
    record(&mut tracker, ms(50), "d", RetiredVersions::default());
    let late = lease(&tracker, ms(1_000), &["b", "c", "d", "e"]);
    assert_eq!(late, held, "an older report arrives late");
}

/// Guards against an entry that forgets with a restart what it had told others that it retired.
#[test]
fn retirement_counts_once_an_earlier_process_does_not_matter() {
    let started = ms(1_000);
    let mut tracker = RetirementTracker::started_at(started);
    assert!(!tracker.counts(started));
    assert!(!tracker.counts(started + FETCH_LEASE + ms(3_000)));
    assert!(tracker.counts(started + FETCH_LEASE + ms(3_500)));
    assert_eq!(lease(&tracker, started, &["b"]).until, None);
    tracker.recall(started, 4);
    assert!(tracker.counts(started));
    assert!(tracker.retired().covers(3, "any part"));
    assert!(!tracker.retired().covers(4, "any part"));
    tracker.recall(started, 9);
    assert!(!tracker.retired().covers(4, "any part"), "only once");
}

/// Context is freed only after a majority has reported it retired for longer than a lease and a fetch
/// last; an entry that never reported does not prevent it, two of four do.
#[test]
fn retirement_frees_after_a_majority_agrees() {
    let mut tracker = recalled();
    tracker.retire(RETIRED);
    let others = names(&["b", "c"]);
    record(&mut tracker, ms(0), "b", RETIRED);
    assert_eq!(tracker.freeable(ms(0), &others), RetiredVersions::default());
    let almost = FREE_DELAY.checked_sub(ms(100)).unwrap();
    for at in [ms(2_000), ms(4_000), almost] {
        record(&mut tracker, at, "b", RETIRED);
        assert_eq!(tracker.freeable(at, &others), RetiredVersions::default());
    }
    assert_eq!(tracker.freeable(FREE_DELAY, &others), RETIRED);
    let half = names(&["b", "c", "d"]);
    assert_eq!(
        tracker.freeable(FREE_DELAY + ms(1), &half),
        RetiredVersions::default()
    );
}

/// The timing starts over when a report expires.
#[test]
fn retirement_starts_over_after_a_report_expired() {
    let mut tracker = recalled();
    tracker.retire(RETIRED);
    let others = names(&["b", "c"]);
    record(&mut tracker, ms(0), "b", RETIRED);
    tracker.freeable(ms(0), &others);
    assert_eq!(
        tracker.freeable(ms(3_000), &others),
        RetiredVersions::default()
    );
    for at in [3_100, 5_000, 7_000] {
        record(&mut tracker, ms(at), "b", RETIRED);
        let freed = tracker.freeable(ms(at), &others);
        assert_eq!(freed, RetiredVersions::default(), "at {at}");
    }
    record(&mut tracker, ms(8_600), "b", RETIRED);
    assert_eq!(tracker.freeable(ms(8_600), &others), RETIRED);
}
