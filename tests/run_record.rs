//! Which final outcome follows from what an entry knows of a request's runs.

use std::time::Duration;

use guavahold::gateway::{Ending, EndingOutcome, ResponseState, RunRecord};
use guavahold::http::RunState;
use guavahold::scheduler::Refusal;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const RETRY_AFTER: Duration = Duration::from_millis(700);

/// How an attempt ends, as far as the record is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptEnd {
    ProvenNotRun,
    Unproven,
}

fn refusals() -> Vec<Refusal> {
    let retry_after = RETRY_AFTER;
    let mut all = vec![
        Refusal::Overloaded { retry_after },
        Refusal::DeadlineUnreachable { retry_after },
        Refusal::NoTarget { retry_after },
        Refusal::Evacuated { retry_after },
        Refusal::Draining { retry_after },
    ];
    for run in [RunState::NotRun, RunState::Ran, RunState::Unknown] {
        all.push(Refusal::Quarantined { retry_after, run });
        all.push(Refusal::Failed { retry_after, run });
    }
    all
}

/// All sequences of up to three ended attempts, and of one more that goes on.
fn histories() -> Vec<(Vec<AttemptEnd>, bool)> {
    let mut ended: Vec<Vec<AttemptEnd>> = vec![Vec::new()];
    for n in 0..3 {
        let longest: Vec<_> = ended.iter().filter(|h| h.len() == n).cloned().collect();
        for history in longest {
            for end in [AttemptEnd::ProvenNotRun, AttemptEnd::Unproven] {
                let mut longer = history.clone();
                longer.push(end);
                ended.push(longer);
            }
        }
    }
    let with = |running| ended.iter().map(move |h| (h.clone(), running));
    with(false).chain(with(true)).collect()
}

fn record(ended: &[AttemptEnd], running: bool) -> RunRecord {
    let mut record = RunRecord::default();
    for end in ended {
        let before = record.begin_attempt();
        if *end == AttemptEnd::ProvenNotRun {
            record.end_not_run(before);
        }
    }
    if running {
        let _ = record.begin_attempt();
    }
    record
}

fn endings(refusals: &[Refusal]) -> Vec<Ending<'_>> {
    let refused = refusals.iter().map(Ending::Refused);
    refused.chain([Ending::DeadlinePassed]).collect()
}

fn response_states() -> [ResponseState; 4] {
    [(false, false), (false, true), (true, false), (true, true)].map(|(head_sent, kept)| {
        ResponseState {
            head_sent,
            has_target_error: kept,
        }
    })
}

#[test]
fn permits_attempt_only_of_what_may_be_repeated_or_has_not_run() {
    for (ended, running) in histories() {
        let record = record(&ended, running);
        let proven = !running && ended.iter().all(|end| *end == AttemptEnd::ProvenNotRun);
        assert!(record.permits_attempt(true), "{ended:?}, {running}");
        assert_eq!(
            record.permits_attempt(false),
            proven,
            "{ended:?}, {running}"
        );
    }
}

/// Guards against a promise to a request of which anything may have run, and against none for one
/// that surely has not.
#[test]
fn outcome_promises_exactly_what_has_not_run() {
    let refusals = refusals();
    for (ended, running) in histories() {
        let record = record(&ended, running);
        let may_have_run = running || ended.contains(&AttemptEnd::Unproven);
        assert_eq!(record.may_have_run(), may_have_run, "{ended:?}, {running}");
        for ending in endings(&refusals) {
            let state = ResponseState::default();
            let EndingOutcome::LocalResponse(response) = record.outcome(&ending, state) else {
                panic!("{ended:?}, {running}, {ending:?}: no response");
            };
            let by_scheduler = match &ending {
                Ending::Refused(refusal) => refusal.run() != RunState::NotRun,
                Ending::DeadlinePassed => false,
            };
            let promises = PROMISES.contains(&response.status);
            let case = format!("{ended:?}, {running}, {ending:?}: {response:?}");
            assert_eq!(promises, !may_have_run && !by_scheduler, "{case}");
            assert_eq!(response.retry_after.is_some(), promises, "{case}");
        }
    }
}

/// Guards against a second head in a stream, and against a kept error response that gets lost.
#[test]
fn outcome_after_a_head_or_a_kept_error_is_no_response_of_the_gateway() {
    let refusals = refusals();
    for (ended, running) in histories() {
        let record = record(&ended, running);
        for ending in endings(&refusals) {
            for state in response_states() {
                let outcome = record.outcome(&ending, state);
                let refused = ending != Ending::DeadlinePassed;
                if state.head_sent {
                    assert_eq!(outcome, EndingOutcome::CutShort);
                } else if state.has_target_error && refused {
                    assert_eq!(outcome, EndingOutcome::TargetError);
                } else {
                    assert!(matches!(outcome, EndingOutcome::LocalResponse(_)));
                }
            }
        }
    }
}
