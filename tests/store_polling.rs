//! How soon a context store is asked again.

use std::time::Duration;

use guavahold::context_store::{PollBackoff, PollResult};

const BATCH_PAUSE: Duration = Duration::from_millis(60);

/// Number of calls in a minute to a store that answers at once and always to the same effect.
fn calls_in_a_minute(result: PollResult) -> usize {
    let mut backoff = PollBackoff::default();
    let mut time = Duration::ZERO;
    let mut calls = 0;
    while time < Duration::from_mins(1) {
        time += backoff.pause_after(result, BATCH_PAUSE);
        calls += 1;
    }
    calls
}

/// Guards against calls without end to a store whose answers are never of use.
#[test]
fn store_without_progress_is_asked_less_and_less() {
    assert!(calls_in_a_minute(PollResult::Unreadable) <= 18);
    assert!(calls_in_a_minute(PollResult::Listed) <= 18);
    assert!(calls_in_a_minute(PollResult::Repeated) <= 102);
}

#[test]
fn store_without_an_answer_is_asked_at_the_same_pace() {
    assert_eq!(calls_in_a_minute(PollResult::NoAnswer), 200);
}

/// Guards against a store that stays out of use after it has become readable.
#[test]
fn store_with_progress_is_asked_at_once() {
    let mut backoff = PollBackoff::default();
    for _ in 0..10 {
        backoff.pause_after(PollResult::Unreadable, BATCH_PAUSE);
    }
    for result in [PollResult::Current, PollResult::Listed] {
        assert_eq!(backoff.pause_after(result, BATCH_PAUSE), BATCH_PAUSE);
    }
}
