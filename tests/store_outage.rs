//! How long missing targets are kept after an outage of the platform store.

use std::time::Duration;

use guavahold::platform::PlatformError;
use guavahold::store_view::StoreOutage;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const RECOVERY_DEADLINE: Duration = Duration::from_secs(3);
/// Time after the return of the store within which targets register again.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn unanswered() -> PlatformError {
    PlatformError::Unanswered("no response in time".into())
}

fn refused() -> PlatformError {
    PlatformError::Unreachable("connection refused".into())
}

/// Until when targets are kept when calls were refused from `from` on, each 500 ms, and the first
/// one was answered at `answered`.
fn doubt_after_refusals(from: u64, answered: u64) -> Option<Duration> {
    let mut outage = StoreOutage::new(ms(from), ms(from), &refused());
    for at in (from..answered).step_by(500) {
        outage.record_failure(ms(at), &refused());
    }
    outage.doubt_until(ms(answered), HEARTBEAT, RECOVERY_DEADLINE)
}

#[test]
fn doubt_until_lasts_until_targets_can_have_registered_again() {
    assert_eq!(doubt_after_refusals(4_000, 6_500), Some(ms(8_500)));
}

/// Guards against a target that leaves when the store is stable again and is kept in use, because its
/// registration might have expired in the outage: with calls that are never answered, an entry
/// learns late of the return.
#[test]
fn doubt_until_ends_before_the_store_counts_as_stable() {
    let called_at = (0..10).map(|n| 3_000 + n * 137);
    for called_at in called_at {
        // The last call in the silent outage; the next one is answered, at most 1,250 ms later.
        for returned in (called_at..called_at + 1_200).step_by(50) {
            let mut outage = StoreOutage::new(ms(2_600), ms(500), &unanswered());
            outage.record_failure(ms(called_at), &unanswered());
            let answered = ms(called_at + 1_250);
            let until = outage.doubt_until(answered, HEARTBEAT, RECOVERY_DEADLINE);
            let until = until.unwrap();
            let stable_at = ms(returned) + RECOVERY_DEADLINE;
            assert!(until < stable_at, "called {called_at}, back {returned}");
            assert!(until + ms(450) >= answered + REREGISTRATION_TIME);
        }
    }
}

/// A watch may be cut off at any time. No registration expires in so short a time, so that a target
/// that is missing afterwards has left.
#[test]
fn doubt_until_is_none_after_a_watch_that_broke_off() {
    assert_eq!(doubt_after_refusals(4_000, 4_300), None);
}

/// The store returns just before the entry finds out that it was silent. If registrations expired, it
/// was away for two heartbeats at least.
#[test]
fn doubt_until_counts_the_silence_before_it_was_noticed() {
    let outage = StoreOutage::new(ms(4_450), ms(2_000), &unanswered());
    let until = outage.doubt_until(ms(4_600), HEARTBEAT, RECOVERY_DEADLINE);
    assert_eq!(until, Some(ms(6_600)));
}

/// A store that turns calls away still answers the one that waits, so that an entry notices late.
/// Guards against targets that are dropped though their registrations expired before that.
#[test]
fn doubt_until_counts_the_refusals_before_they_were_noticed() {
    for noticed_at in (4_000..5_700).step_by(100) {
        let outage = StoreOutage::new(ms(noticed_at), ms(4_000), &refused());
        let until = outage.doubt_until(ms(6_450), HEARTBEAT, RECOVERY_DEADLINE);
        assert_eq!(until, Some(ms(8_450)), "noticed {noticed_at}");
    }
}

/// A call that is turned away once, for its rate, is no outage.
#[test]
fn doubt_until_is_none_after_a_call_that_was_refused_once() {
    let outage = StoreOutage::new(ms(5_700), ms(4_000), &refused());
    let until = outage.doubt_until(ms(5_850), HEARTBEAT, RECOVERY_DEADLINE);
    assert_eq!(until, None);
}
