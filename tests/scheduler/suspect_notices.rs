//! What entries tell each other of requests that crash targets.

use std::time::Duration;

use guavahold::prelude::*;
use guavahold::scheduler::{Event, SuspectRequest};

use crate::quarantine::entry_scheduler;
use crate::simulation::{key, ms};

/// Two targets that ended while the request with fingerprint `n` ran, so long ago.
fn told(n: u64, ttl: Duration, age: Duration) -> SuspectRequest {
    SuspectRequest {
        age,
        ..SuspectRequest::new(key(n), vec!["x".into(), "y".into()], ttl)
    }
}

fn known_after(at: Timestamp, suspect: SuspectRequest) -> Vec<SuspectRequest> {
    let mut scheduler = entry_scheduler(1);
    scheduler.on(at, Event::Quarantine(suspect), &mut Vec::new());
    scheduler.suspects(at, 10)
}

/// Guards against a quarantine that lasts for ever since entries that restart are told of it again.
#[test]
fn quarantine_that_is_told_again_ends_when_it_would_have() {
    let (mut at, mut suspect) = (ms(0), told(1, Duration::from_mins(10), Duration::ZERO));
    for _ in 0..9 {
        let known = known_after(at, suspect.clone());
        assert_eq!(known, [suspect.clone()], "at {at:?}");
        let mut scheduler = entry_scheduler(1);
        scheduler.on(at, Event::Quarantine(suspect), &mut Vec::new());
        at += Duration::from_mins(1);
        suspect = scheduler.suspects(at, 10).remove(0);
    }
    assert_eq!(suspect.ttl, Duration::from_mins(1));
    assert_eq!(suspect.age, Duration::from_mins(9));
    let mut scheduler = entry_scheduler(1);
    scheduler.on(at, Event::Quarantine(suspect.clone()), &mut Vec::new());
    assert!(
        scheduler
            .suspects(at + Duration::from_mins(1), 10)
            .is_empty()
    );
    let long_ago = told(1, Duration::ZERO, Duration::from_mins(10));
    assert!(known_after(at, long_ago).is_empty());
    // Without a remaining time, it lasts from the end of the last target on.
    let earlier = told(1, Duration::ZERO, Duration::from_mins(4));
    let known = known_after(Duration::from_hours(1), earlier);
    assert_eq!(known[0].ttl, Duration::from_mins(6));
}

/// Guards against peers that send an entry that joins without end.
#[test]
fn suspects_are_told_up_to_a_bound_the_latest_first() {
    let mut scheduler = entry_scheduler(1);
    for n in 0..40 {
        let suspect = told(n, Duration::from_mins(5), Duration::ZERO);
        scheduler.on(ms(n), Event::Quarantine(suspect), &mut Vec::new());
    }
    let suspects = scheduler.suspects(ms(40), 3);
    let fingerprints: Vec<_> = suspects.iter().map(|s| s.fingerprint).collect();
    assert_eq!(fingerprints, [key(39), key(38), key(37)]);
}

/// A peer of the build before names the target alone: its notice counts no end twice.
#[test]
fn end_told_without_the_start_of_its_process_counts_once() {
    let mut scheduler = entry_scheduler(1);
    for name in ["x@17", "x", "x@17"] {
        let suspect = SuspectRequest::new(key(1), vec![name.into()], Duration::ZERO);
        scheduler.on(ms(1), Event::Quarantine(suspect), &mut Vec::new());
    }
    assert_eq!(scheduler.suspects(ms(2), 1)[0].victims.len(), 1);
    let again = SuspectRequest::new(key(1), vec!["x@18".into()], Duration::ZERO);
    scheduler.on(ms(3), Event::Quarantine(again), &mut Vec::new());
    assert!(scheduler.suspects(ms(4), 1)[0].is_quarantined());
}
