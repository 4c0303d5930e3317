//! Deadlines of fetches by the targets' clock.

use std::time::Duration;

use guavahold::gateway::FetchClock;

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

#[test]
fn fetch_clock_goes_by_the_least_delayed_reading() {
    let clock = FetchClock::default();
    assert_eq!(clock.after(secs(10), secs(2)), None);
    clock.observe(secs(10), Some(900_000));
    clock.observe(secs(11), Some(900_600));
    assert_eq!(clock.after(secs(12), secs(2)), Some(904_000));
    clock.observe(secs(12), None);
    assert_eq!(clock.after(secs(12), secs(2)), Some(904_000));
}

/// Guards against deadlines that are too late at a VM whose clock runs faster than the targets': a
/// fetch would go on after its context was freed.
#[test]
fn fetch_clock_follows_a_slower_clock_of_the_targets() {
    let clock = FetchClock::default();
    let (day, mut latest) = (86_400, 0);
    for second in 0..day {
        let now = secs(second);
        let targets_ms = second * 1_000 - second / 2;
        clock.observe(now, Some(1_000_000 + targets_ms));
        latest = clock.after(now, secs(2)).unwrap() - 1_000_000 - targets_ms;
    }
    assert!((2_000..2_050).contains(&latest), "{latest} ms");
}

/// Guards against a panic, or a deadline in the past, after the reading of a store without a clock.
#[test]
fn fetch_clock_bears_a_reading_that_no_clock_reaches() {
    let clock = FetchClock::default();
    clock.observe(secs(10), Some(u64::MAX));
    assert_eq!(clock.after(secs(20), secs(2)), Some(u64::MAX));
}
