//! Decisions of hubs that belong to requests of an earlier process of the entry.

use futures_lite::FutureExt;
use futures_lite::future::block_on;
use guavahold::domain_scheduler::{Decision, ScheduledRequest};
use guavahold::prelude::*;
use guavahold::scheduler::{AttemptOutcome, Effect, Refusal};

use crate::client::{Entry, RecordedLinks, dispatch_target, next_effect, request};
use crate::scheduler;
use crate::simulation::ms;

/// Guards against a second run by a grant that belongs to a request of an earlier process of this
/// entry with the same number.
#[test]
fn on_reply_second_grant_of_a_request_that_ran_is_not_carried_out() {
    for outcome in [
        AttemptOutcome::Lost,
        AttemptOutcome::CutShort,
        AttemptOutcome::PathLost,
        AttemptOutcome::TargetError,
    ] {
        let entry = Entry::new(RecordedLinks::default());
        let request = entry.submit(request(1, false));
        let hub = entry.last_hub();
        entry.grant(&hub, 1, 1);
        next_effect(&request);
        request.report_end(1, outcome.clone());
        entry.grant(&hub, 1, 1);
        match next_effect(&request) {
            Effect::Refuse { refusal, .. } => {
                assert_ne!(refusal.run(), guavahold::http::RunState::NotRun);
            }
            other => panic!("after {outcome:?}: expected a refusal, got {other:?}"),
        }
    }
}

/// Decisions that a hub takes only on requests that have no attempt running: one that arrives while an
/// attempt runs belongs to a request of an earlier process of this entry with the same number.
fn decisions_on_waiting_requests() -> Vec<Decision> {
    let retry_after = ms(500);
    vec![
        Decision::Declined,
        Decision::Refuse(Refusal::NoTarget { retry_after }),
        Decision::Refuse(Refusal::Overloaded { retry_after }),
    ]
}

/// Effect that follows within a moment, as of a request whose attempt runs.
fn effect_soon(request: &ScheduledRequest) -> Option<Effect> {
    let nothing = async {
        async_io::Timer::after(Duration::from_millis(50)).await;
        None
    };
    block_on(async { Some(request.next_effect().await) }.or(nothing))
}

/// Guards against a second run: a decision on another request of the same number arrives while an
/// attempt runs, the entry's own scheduler gets the request, and sends it once a target has room.
#[test]
fn on_reply_decision_during_an_attempt_does_not_have_the_request_sent_again() {
    for decision in decisions_on_waiting_requests() {
        let entry = Entry::new(RecordedLinks::default());
        let request = entry.submit(request(1, false));
        let hub = entry.last_hub();
        entry.grant(&hub, 1, 1);
        next_effect(&request);
        let fill = |id| {
            let mut arrival = crate::client::request(id, true);
            arrival.weights = SmallVec::new();
            let filling = entry.submit(arrival);
            next_effect(&filling);
            filling
        };
        let filling: Vec<_> = (100..108).map(fill).collect();
        entry.reply(&hub, 1, decision.clone());
        assert_eq!(effect_soon(&request), None, "{decision:?}");
        request.report_end(1, AttemptOutcome::Lost);
        drop(filling);
        entry.reply(
            &hub,
            1,
            Decision::Refuse(Refusal::Failed {
                run: guavahold::http::RunState::Unknown,
                retry_after: ms(500),
            }),
        );
        match next_effect(&request) {
            Effect::Refuse { refusal, .. } => {
                let run = refusal.run();
                assert_ne!(run, guavahold::http::RunState::NotRun, "{decision:?}");
            }
            other => panic!("{decision:?}: expected a refusal, got {other:?}"),
        }
    }
}

/// Guards against a request that nobody decides on: another request's refusal arrives during an attempt
/// that the target refuses.
#[test]
fn on_reply_decision_during_an_attempt_leaves_the_request_to_its_hub() {
    for decision in decisions_on_waiting_requests() {
        let entry = Entry::new(RecordedLinks::default());
        let request = entry.submit(request(1, false));
        let hub = entry.last_hub();
        entry.grant(&hub, 1, 1);
        next_effect(&request);
        entry.reply(&hub, 1, decision.clone());
        assert_eq!(effect_soon(&request), None, "{decision:?}");
        request.report_end(1, AttemptOutcome::Refused { retry_after: None });
        entry.grant(&hub, 1, 2);
        let effect = next_effect(&request);
        assert_eq!(dispatch_target(&effect), "granted", "{decision:?}");
    }
}

/// Guards against decisions on requests of an earlier process of an entry: hubs name a request by its
/// entry and its number, and a new process has the name of the one before.
#[test]
fn next_id_of_two_processes_of_an_entry_differs() {
    let numbers_of_process = || {
        let scheduler = scheduler(&["own"], 8);
        let numbers = std::iter::repeat_with(|| scheduler.next_id());
        numbers.take(1_000).collect::<Vec<_>>()
    };
    let (before, after) = (numbers_of_process(), numbers_of_process());
    let common = before.iter().filter(|id| after.contains(id)).count();
    assert_eq!(common, 0, "{:?} and {:?}", before[0], after[0]);
}
