//! The entry's side.

use std::sync::Mutex;

use futures_lite::FutureExt;
use futures_lite::future::block_on;
use guavahold::catalog::PriorityClass;
use guavahold::domain_scheduler::{
    CallStep, Decision, DomainHub, ScheduledRequest, SchedulerCall, SchedulerClient,
    SchedulerLinks, SchedulerReply,
};
use guavahold::prelude::*;
use guavahold::residency::AllowedDomains;
use guavahold::scheduler::{Arrival, AttemptOutcome, Effect, Refusal};

use crate::simulation::{arrival, ms, policy};
use crate::{TIMEOUT_MS, capacity, scheduler};

/// Time limit for what a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Links that record the calls made on them.
#[derive(Clone, Default)]
pub struct RecordedLinks {
    calls: Arc<Mutex<Vec<(String, SchedulerCall)>>>,
    broken: bool,
}

impl SchedulerLinks for RecordedLinks {
    fn call(&self, hub: &str, call: SchedulerCall) -> bool {
        self.calls.lock().unwrap().push((hub.to_owned(), call));
        !self.broken
    }
}

/// An entry that knows two hubs, of which its own scheduler is independent.
pub struct Entry {
    client: Arc<SchedulerClient>,
    links: RecordedLinks,
}

impl Entry {
    pub fn new(links: RecordedLinks) -> Self {
        let client = SchedulerClient::new(scheduler(&["own"], 8));
        client.set_links(Box::new(links.clone()));
        client.set_hubs(vec![hub("domain-0", "hub-0"), hub("domain-1", "hub-1")]);
        client.set_capacities(vec![capacity("domain-0", 8, 0), capacity("domain-1", 8, 0)]);
        Self {
            client: Arc::new(client),
            links,
        }
    }

    pub fn submit(&self, arrival: Arrival) -> ScheduledRequest {
        self.client.submit(arrival)
    }

    /// Hub and step of the calls so far, without arrivals.
    pub fn steps(&self) -> Vec<(String, CallStep)> {
        let calls = self.links.calls.lock().unwrap();
        let steps = calls
            .iter()
            .map(|(hub, call)| (hub.clone(), call.step.clone()));
        steps
            .filter(|(_, step)| !matches!(step, CallStep::Arrive(_)))
            .collect()
    }

    /// Hub that got the latest arrival.
    pub fn last_hub(&self) -> String {
        let calls = self.links.calls.lock().unwrap();
        let arrivals = calls.iter();
        let mut arrivals = arrivals.filter(|(_, c)| matches!(c.step, CallStep::Arrive(_)));
        arrivals.next_back().expect("an arrival").0.clone()
    }

    pub fn reply(&self, hub: &str, id: u64, decision: Decision) {
        self.client.on_reply(hub, SchedulerReply { id, decision });
    }

    pub fn grant(&self, hub: &str, id: u64, attempt: u32) {
        let grant = guavahold::domain_scheduler::Grant {
            attempt,
            target: "granted".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            weights: "v1".into(),
            neighbour: None,
            within_limit: false,
            within_warm_up: false,
            software: "v1".into(),
            load: (0, 0),
        };
        self.reply(hub, id, Decision::Dispatch(Box::new(grant)));
    }
}

fn hub(domain: &str, entry: &str) -> DomainHub {
    DomainHub {
        domain: domain.into(),
        entry: entry.into(),
        queued: 0,
    }
}

pub fn request(id: u64, idempotent: bool) -> Arrival {
    let mut arrival = arrival(id, "a", &policy(PriorityClass::Standard, TIMEOUT_MS));
    let mut policy = (*arrival.policy).clone();
    policy.idempotent = idempotent;
    policy.total_ms = TIMEOUT_MS;
    arrival.policy = Arc::new(policy);
    arrival.max_attempts = 2;
    arrival
}

pub fn next_effect(request: &ScheduledRequest) -> Effect {
    let timed_out = async {
        async_io::Timer::after(WAIT_TIMEOUT).await;
        panic!("no effect in time");
    };
    block_on(request.next_effect().or(timed_out))
}

pub fn dispatch_target(effect: &Effect) -> &str {
    match effect {
        Effect::Dispatch { target, .. } => target,
        other => panic!("expected a dispatch, got {other:?}"),
    }
}

#[test]
fn submit_carries_out_decisions_of_hub() {
    let entry = Entry::new(RecordedLinks::default());
    let request = entry.submit(request(1, true));
    let hub = entry.last_hub();
    entry.reply(&hub, 1, Decision::Queued);
    entry.grant(&hub, 1, 1);
    assert_eq!(dispatch_target(&next_effect(&request)), "granted");
    request.report_first_token(1);
    request.report_end(1, AttemptOutcome::Done);
    request.finish();
    drop(request);
    let expected = [
        (hub.clone(), CallStep::FirstToken(1)),
        (hub, CallStep::Ended(1, AttemptOutcome::Done)),
    ];
    assert_eq!(entry.steps(), expected);
}

/// The entry schedules the request itself and gives the hub nothing more for a time, so that only
/// the first requests wait in vain.
#[test]
fn submit_falls_back_when_hub_is_silent() {
    let entry = Entry::new(RecordedLinks::default());
    let waiting = entry.submit(request(1, true));
    let silent = entry.last_hub();
    assert_eq!(dispatch_target(&next_effect(&waiting)), "own");
    assert_eq!(entry.steps(), [(silent.clone(), CallStep::Left)]);
    for id in 2..30 {
        let _request = entry.submit(request(id, true));
        assert_ne!(entry.last_hub(), silent);
    }
}

#[test]
fn submit_falls_back_when_hub_declines_or_has_no_target() {
    let entry = Entry::new(RecordedLinks::default());
    let decisions = [
        Decision::Declined,
        Decision::Refuse(Refusal::NoTarget {
            retry_after: ms(1_000),
        }),
    ];
    for (id, decision) in (1..).zip(decisions) {
        let request = entry.submit(request(id, true));
        entry.reply(&entry.last_hub(), id, decision);
        assert_eq!(dispatch_target(&next_effect(&request)), "own");
    }
}

/// A hub is told only of requests that may run in its domain.
#[test]
fn submit_restricted_request_only_to_hub_of_allowed_domain() {
    let entry = Entry::new(RecordedLinks::default());
    for id in 0..40 {
        let restricted = Arrival {
            allowed: Some(AllowedDomains::new(["domain-1".into()])),
            ..request(id, true)
        };
        let _request = entry.submit(restricted);
        assert_eq!(entry.last_hub(), "hub-1");
    }
}

/// Without a hub in an allowed domain the entry decides itself, and its only target is elsewhere.
#[test]
fn submit_restricted_request_without_allowed_hub_is_refused() {
    let entry = Entry::new(RecordedLinks::default());
    let restricted = Arrival {
        allowed: Some(AllowedDomains::new(["domain-7".into()])),
        ..request(1, true)
    };
    let request = entry.submit(restricted);
    let effect = next_effect(&request);
    let refusal = match effect {
        Effect::Refuse { refusal, .. } => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    };
    assert!(matches!(refusal, Refusal::NoTarget { .. }));
    assert!(entry.steps().is_empty());
}

/// A hub without a target for the weights of one request goes on scheduling others.
#[test]
fn submit_goes_on_using_hub_that_had_no_target() {
    let entry = Entry::new(RecordedLinks::default());
    let first = entry.submit(request(1, true));
    let hub = entry.last_hub();
    let retry_after = ms(1_000);
    let refusal = Decision::Refuse(Refusal::NoTarget { retry_after });
    entry.reply(&hub, 1, refusal);
    next_effect(&first);
    let same_prompt = Arrival {
        id: guavahold::scheduler::RequestId(2),
        ..request(1, true)
    };
    let _second = entry.submit(same_prompt);
    assert_eq!(entry.last_hub(), hub);
}

#[test]
fn submit_uses_own_scheduler_without_link_or_hub() {
    let broken = RecordedLinks {
        broken: true,
        ..RecordedLinks::default()
    };
    let entry = Entry::new(broken);
    let unreachable = entry.submit(request(1, true));
    assert_eq!(dispatch_target(&next_effect(&unreachable)), "own");
    entry.client.set_hubs(Vec::new());
    let without_hub = entry.submit(request(2, true));
    assert_eq!(dispatch_target(&next_effect(&without_hub)), "own");
}

/// Two schedulers must never both send a request: a grant that comes after the entry has taken the
/// request back, and one of a hub that does not have it, are ignored.
#[test]
fn on_reply_ignores_late_and_foreign_grants() {
    let entry = Entry::new(RecordedLinks::default());
    let request = entry.submit(request(1, false));
    let owner = entry.last_hub();
    let other = if owner == "hub-0" { "hub-1" } else { "hub-0" };
    entry.grant(other, 1, 1);
    assert_eq!(dispatch_target(&next_effect(&request)), "own");
    entry.grant(&owner, 1, 1);
    let nothing_more = async {
        async_io::Timer::after(Duration::from_millis(100)).await;
        None
    };
    let more = block_on(async { Some(request.next_effect().await) }.or(nothing_more));
    assert_eq!(more, None);
}

/// A request that must not run twice is not sent again when its hub is gone, and its caller is not
/// told that it has not run.
#[test]
fn fall_back_never_repeats_a_run() {
    let entry = Entry::new(RecordedLinks::default());
    let request = entry.submit(request(1, false));
    entry.grant(&entry.last_hub(), 1, 1);
    next_effect(&request);
    entry.client.retain_hubs(|_| false);
    request.report_end(1, AttemptOutcome::Lost);
    match next_effect(&request) {
        Effect::Refuse { refusal, .. } => {
            assert_ne!(refusal.run(), guavahold::http::RunState::NotRun);
        }
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// The attempts at a hub count: with two allowed and one made, the entry makes one more.
#[test]
fn fall_back_keeps_count_of_attempts() {
    let entry = Entry::new(RecordedLinks::default());
    let request = entry.submit(request(1, true));
    entry.grant(&entry.last_hub(), 1, 1);
    next_effect(&request);
    entry.client.retain_hubs(|_| false);
    request.report_end(1, AttemptOutcome::Lost);
    assert_eq!(dispatch_target(&next_effect(&request)), "own");
    request.report_end(1, AttemptOutcome::TargetError);
    assert!(matches!(next_effect(&request), Effect::Refuse { .. }));
}

/// A hub of an earlier build grants targets of an evacuated domain and has no others: the entry
/// schedules the request itself, and nothing counts as an attempt.
#[test]
fn evacuated_grant_is_taken_back_from_hub() {
    let entry = Entry::new(RecordedLinks::default());
    let request = entry.submit(request(1, false));
    let hub = entry.last_hub();
    entry.grant(&hub, 1, 1);
    next_effect(&request);
    request.report_end(1, AttemptOutcome::Withheld);
    request.leave_evacuated_hub();
    assert_eq!(dispatch_target(&next_effect(&request)), "own");
    let expected = [
        (hub.clone(), CallStep::Ended(1, AttemptOutcome::Withheld)),
        (hub, CallStep::Left),
    ];
    assert_eq!(entry.steps(), expected);
}

/// One that may have run before is left to the hub, which knows what its caller must be told.
#[test]
fn evacuated_grant_of_a_request_that_ran_stays_with_hub() {
    let entry = Entry::new(RecordedLinks::default());
    let request = entry.submit(request(1, false));
    let hub = entry.last_hub();
    entry.grant(&hub, 1, 1);
    next_effect(&request);
    request.report_end(1, AttemptOutcome::Lost);
    request.leave_evacuated_hub();
    let refusal = Refusal::Failed {
        run: guavahold::http::RunState::Unknown,
        retry_after: ms(500),
    };
    entry.reply(&hub, 1, Decision::Refuse(refusal));
    assert!(matches!(next_effect(&request), Effect::Refuse { .. }));
}
