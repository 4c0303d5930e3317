//! Agreement of all entries on which weight versions' stored context may be freed.

use std::collections::BTreeMap;
use std::time::Duration;

use guavahold::context_store::{FETCH_TIMEOUT, RetiredVersions, RetirementTracker};
use guavahold::prelude::Name;
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A simulated entry; times in milliseconds.
#[derive(Default)]
struct Entry {
    retirement: RetirementTracker,
    /// Latest end of its fetches of a part of version 1.
    fetching_until: u64,
    paused_until: u64,
}

#[derive(Clone, Debug)]
enum Step {
    /// All entries exchange reports, except over the cut links between these pairs.
    Reports(Vec<(usize, usize)>),
    /// An entry learns of version 2 and retires version 1.
    Retire(usize),
    /// An entry begins a fetch of version 1 if it may.
    Fetch(usize),
    /// An entry is suspended for this many milliseconds.
    Pause(usize, u64),
    /// An entry determines what may be freed.
    Free(usize),
}

const ENTRIES: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    prop_oneof![
        6 => prop::collection::vec((0..ENTRIES, 0..ENTRIES), 0..4).prop_map(Step::Reports),
        1 => entry.clone().prop_map(Step::Retire),
        4 => entry.clone().prop_map(Step::Fetch),
        1 => (entry.clone(), 100_u64..5_000).prop_map(|(n, t)| Step::Pause(n, t)),
        4 => entry.prop_map(Step::Free),
    ]
}

fn name(n: usize) -> Name {
    format!("entry-{n}").into()
}

fn simulate(steps: Vec<(u64, Step)>) {
    let mut entries: BTreeMap<usize, Entry> = (0..ENTRIES).map(|n| (n, Entry::default())).collect();
    let all: Vec<Name> = (0..ENTRIES).map(name).collect();
    let mut now = 0;
    for (pause, step) in steps {
        now += pause;
        let awake = |entries: &BTreeMap<usize, Entry>, n: usize| entries[&n].paused_until <= now;
        match step {
            Step::Reports(cut) => {
                let awake: Vec<usize> = (0..ENTRIES).filter(|n| awake(&entries, *n)).collect();
                for from in &awake {
                    let report = entries[from].retirement.retired();
                    for to in awake.iter().filter(|to| *to != from) {
                        if cut.contains(&(*from, *to)) || cut.contains(&(*to, *from)) {
                            continue;
                        }
                        let to = entries.get_mut(to).unwrap();
                        to.retirement.record_status(ms(now), &name(*from), report);
                    }
                }
            }
            Step::Retire(n) if awake(&entries, n) => {
                let retired = RetiredVersions {
                    all_below: 2,
                    half_below: 2,
                };
                entries.get_mut(&n).unwrap().retirement.retire(retired);
            }
            Step::Fetch(n) if awake(&entries, n) => {
                let entry = entries.get_mut(&n).unwrap();
                let retired = entry.retirement.retired().covers(1, "p");
                if entry.retirement.may_fetch(Some(ENTRIES)) && !retired {
                    let timeout = u64::try_from(FETCH_TIMEOUT.as_millis()).unwrap();
                    entry.fetching_until = now + timeout;
                }
            }
            Step::Pause(n, length) => entries.get_mut(&n).unwrap().paused_until = now + length,
            Step::Free(n) if awake(&entries, n) => {
                let others: Vec<Name> = all.iter().filter(|o| **o != name(n)).cloned().collect();
                let freed = entries
                    .get_mut(&n)
                    .unwrap()
                    .retirement
                    .freeable(ms(now), &others);
                if freed.covers(1, "p") {
                    for (fetcher, entry) in &entries {
                        assert!(
                            entry.fetching_until <= now,
                            "entry {n} frees at {now} ms what entry {fetcher} is fetching"
                        );
                    }
                }
            }
            Step::Retire(_) | Step::Fetch(_) | Step::Free(_) => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Stores do not check whether a part is being fetched, so entries must not free one during a
    /// fetch. Links are cut and entries suspended at random.
    #[test]
    fn retirement_frees_no_part_during_a_fetch(
        steps in prop::collection::vec((0_u64..200, step()), 1..200)
    ) {
        simulate(steps);
    }
}

/// Guards against an entry that has just started, knows no other entry yet and takes itself for the
/// majority: it would fetch what the others have agreed to free.
#[test]
fn may_fetch_waits_until_a_majority_of_the_listed_entries_has_reported() {
    let mut tracker = RetirementTracker::default();
    assert!(!tracker.may_fetch(None), "the list has not been read");
    assert!(!tracker.may_fetch(Some(4)));
    for n in 1..3 {
        tracker.record_status(ms(n), &name(1), RetiredVersions::default());
        tracker.record_status(ms(n), &name(2), RetiredVersions::default());
    }
    assert!(tracker.may_fetch(Some(4)), "three of four");
    assert!(RetirementTracker::default().may_fetch(Some(1)), "alone");
}

/// A version is freed only after all entries have reported it retired for 2.5 s without a gap; a
/// listed entry that never reported prevents it.
#[test]
fn retirement_frees_after_all_entries_agree() {
    let mut tracker = RetirementTracker::default();
    let retired = RetiredVersions {
        all_below: 2,
        half_below: 3,
    };
    tracker.retire(retired);
    let others: Vec<Name> = vec!["b".into()];
    tracker.record_status(ms(0), &"b".into(), retired);
    assert_eq!(tracker.freeable(ms(0), &others), RetiredVersions::default());
    tracker.record_status(ms(2_400), &"b".into(), retired);
    assert_eq!(
        tracker.freeable(ms(2_400), &others),
        RetiredVersions::default()
    );
    tracker.record_status(ms(2_500), &"b".into(), retired);
    assert_eq!(tracker.freeable(ms(2_500), &others), retired);
    let with_silent: Vec<Name> = vec!["b".into(), "c".into()];
    assert_eq!(
        tracker.freeable(ms(2_600), &with_silent),
        RetiredVersions::default()
    );
}
