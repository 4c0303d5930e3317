//! The scheduler of a failure domain and its clients, without a network: what entries that die, hubs
//! that are silent, and two hubs at once mean for requests.

#[path = "scheduler/simulation.rs"]
#[allow(dead_code)]
mod simulation;

use std::sync::Mutex;

use futures_lite::FutureExt;
use futures_lite::future::block_on;
use guavahold::catalog::PriorityClass;
use guavahold::domain_scheduler::{
    CallStep, Decision, DomainCapacity, DomainChoice, DomainHub, DomainScheduler, RemoteArrival,
    ScheduledRequest, SchedulerCall, SchedulerClient, SchedulerLinks, SchedulerReply,
};
use guavahold::prelude::*;
use guavahold::scheduler::{
    Arrival, AttemptOutcome, Effect, Event, Placement, Refusal, Scheduler, SchedulerSettings,
};
use guavahold::shared_scheduler::{QuarantineNotices, SharedScheduler};
use simulation::{arrival, ms, policy, report, target};

/// Time limit for what a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of requests, in milliseconds.
const TIMEOUT_MS: u64 = 10_000;

fn scheduler(targets: &[&str], slots: u32) -> Arc<SharedScheduler> {
    let settings = SchedulerSettings {
        placement: Placement::LeastWork,
        hedging: false,
        ..SchedulerSettings::new("domain-0".into())
    };
    let (control, _) = async_channel::unbounded();
    let notices = Arc::new(QuarantineNotices::default());
    let scheduler = SharedScheduler::new(Scheduler::new(settings), control, notices);
    let list = targets.iter().map(|name| target(name, "domain-0"));
    scheduler.submit(Event::Targets(list.collect()));
    for name in targets {
        scheduler.submit(Event::Report {
            target: (*name).into(),
            report: report(slots),
        });
    }
    Arc::new(scheduler)
}

/// A hub with the entries' calls made directly.
struct Hub {
    server: DomainScheduler,
    decisions: async_channel::Receiver<Effect>,
}

impl Hub {
    fn new(targets: &[&str], slots: u32) -> Self {
        let (tx, decisions) = async_channel::unbounded();
        let server = DomainScheduler::new(scheduler(targets, slots), tx);
        server.set_serving(true);
        Self { server, decisions }
    }

    /// Makes a call; returns all replies that it causes.
    fn call(
        &self,
        now: u64,
        entry: &str,
        id: u64,
        step: CallStep,
    ) -> Vec<(String, SchedulerReply)> {
        let call = SchedulerCall { id, step };
        let at_once = self.server.on_call(ms(now), &entry.into(), call);
        let at_once = at_once.map(|reply| (entry.to_owned(), reply));
        at_once.into_iter().chain(self.replies()).collect()
    }

    fn replies(&self) -> Vec<(String, SchedulerReply)> {
        let effects = std::iter::from_fn(|| self.decisions.try_recv().ok());
        let replies = effects.filter_map(|effect| self.server.reply(effect));
        replies
            .map(|(entry, reply)| (entry.to_string(), reply))
            .collect()
    }

    fn arrive(&self, entry: &str, id: u64, class: PriorityClass) -> Vec<(String, SchedulerReply)> {
        self.call(0, entry, id, arrive(id, class))
    }
}

fn arrive(id: u64, class: PriorityClass) -> CallStep {
    let arrival = arrival(id, "a", &policy(class, TIMEOUT_MS));
    CallStep::Arrive(Box::new(RemoteArrival {
        total_ms: TIMEOUT_MS,
        ..RemoteArrival::from(&arrival)
    }))
}

fn is_dispatch(reply: &SchedulerReply) -> bool {
    matches!(reply.decision, Decision::Dispatch(_))
}

/// Entries and numbers of the requests that these replies dispatch.
fn dispatched(replies: &[(String, SchedulerReply)]) -> Vec<(&str, u64)> {
    let dispatches = replies.iter().filter(|(_, reply)| is_dispatch(reply));
    dispatches
        .map(|(entry, reply)| (entry.as_str(), reply.id))
        .collect()
}

#[test]
fn on_call_dispatches_to_free_slots_and_queues_the_rest() {
    let hub = Hub::new(&["t-1"], 2);
    for (n, entry) in ["a", "b"].into_iter().enumerate() {
        let replies = hub.arrive(entry, n as u64, PriorityClass::Standard);
        assert_eq!(dispatched(&replies), [(entry, n as u64)]);
    }
    let waiting = hub.arrive("c", 7, PriorityClass::Patient);
    assert_eq!(waiting.len(), 1);
    assert_eq!(waiting[0].1.decision, Decision::Queued);
    hub.arrive("d", 7, PriorityClass::Interactive);
    let ended = CallStep::Ended(1, AttemptOutcome::Done);
    let replies = hub.call(0, "a", 0, ended.clone());
    assert_eq!(
        dispatched(&replies),
        [("d", 7)],
        "the more urgent one first"
    );
    let replies = hub.call(0, "b", 1, ended);
    assert_eq!(dispatched(&replies), [("c", 7)]);
}

#[test]
fn on_call_declines_while_not_serving() {
    let hub = Hub::new(&["t-1"], 2);
    hub.server.set_serving(false);
    let replies = hub.arrive("a", 1, PriorityClass::Standard);
    assert_eq!(replies[0].1.decision, Decision::Declined);
    assert!(!hub.server.is_active());
}

/// The slots of an entry that died are given to others once it is not live any more.
#[test]
fn retain_entries_frees_slots_of_dead_entry() {
    let hub = Hub::new(&["t-1"], 1);
    hub.arrive("dead", 1, PriorityClass::Standard);
    hub.arrive("alive", 1, PriorityClass::Standard);
    hub.server.retain_entries(|entry| entry == "alive");
    assert_eq!(dispatched(&hub.replies()), [("alive", 1)]);
}

/// An entry that hangs reports no end; its requests are abandoned when their own time has passed.
#[test]
fn expire_frees_slots_of_hanging_entry() {
    let hub = Hub::new(&["t-1"], 1);
    hub.arrive("hanging", 1, PriorityClass::Standard);
    assert!(hub.server.expire(ms(TIMEOUT_MS)).is_empty());
    hub.call(TIMEOUT_MS, "alive", 1, arrive(1, PriorityClass::Standard));
    hub.server.expire(ms(TIMEOUT_MS + 1_000));
    assert_eq!(dispatched(&hub.replies()), [("alive", 1)]);
}

/// An entry that has started anew numbers its requests from the beginning.
#[test]
fn on_call_replaces_request_of_former_process() {
    let hub = Hub::new(&["t-1"], 1);
    hub.arrive("a", 1, PriorityClass::Standard);
    let replies = hub.arrive("a", 1, PriorityClass::Standard);
    assert_eq!(dispatched(&replies), [("a", 1)]);
}

#[test]
fn expire_repeats_that_requests_wait() {
    let hub = Hub::new(&["t-1"], 1);
    hub.arrive("a", 1, PriorityClass::Standard);
    hub.arrive("b", 2, PriorityClass::Standard);
    let reports = hub.server.expire(ms(400));
    assert_eq!(reports.len(), 1, "the running one needs none");
    assert_eq!((&*reports[0].0, reports[0].1.id), ("b", 2));
    assert_eq!(reports[0].1.decision, Decision::Queued);
}

/// Links that record the calls made on them.
#[derive(Clone, Default)]
struct RecordedLinks {
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
struct Entry {
    client: Arc<SchedulerClient>,
    links: RecordedLinks,
}

impl Entry {
    fn new(links: RecordedLinks) -> Self {
        let client = SchedulerClient::new(scheduler(&["own"], 8));
        client.set_links(Box::new(links.clone()));
        client.set_hubs(vec![hub("domain-0", "hub-0"), hub("domain-1", "hub-1")]);
        client.set_capacities(vec![capacity("domain-0", 8, 0), capacity("domain-1", 8, 0)]);
        Self {
            client: Arc::new(client),
            links,
        }
    }

    fn submit(&self, arrival: Arrival) -> ScheduledRequest {
        self.client.submit(arrival)
    }

    /// Hub and step of the calls so far, without arrivals.
    fn steps(&self) -> Vec<(String, CallStep)> {
        let calls = self.links.calls.lock().unwrap();
        let steps = calls
            .iter()
            .map(|(hub, call)| (hub.clone(), call.step.clone()));
        steps
            .filter(|(_, step)| !matches!(step, CallStep::Arrive(_)))
            .collect()
    }

    /// Hub that got the latest arrival.
    fn last_hub(&self) -> String {
        let calls = self.links.calls.lock().unwrap();
        let arrivals = calls.iter();
        let mut arrivals = arrivals.filter(|(_, c)| matches!(c.step, CallStep::Arrive(_)));
        arrivals.next_back().expect("an arrival").0.clone()
    }

    fn reply(&self, hub: &str, id: u64, decision: Decision) {
        self.client.on_reply(hub, SchedulerReply { id, decision });
    }

    fn grant(&self, hub: &str, id: u64, attempt: u32) {
        let grant = guavahold::domain_scheduler::Grant {
            attempt,
            target: "granted".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            weights: "v1".into(),
            neighbour: None,
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

fn capacity(domain: &str, slots: u32, requests: u32) -> DomainCapacity {
    DomainCapacity {
        domain: domain.into(),
        serves: "chat".into(),
        slots,
        requests,
    }
}

fn request(id: u64, idempotent: bool) -> Arrival {
    let mut arrival = arrival(id, "a", &policy(PriorityClass::Standard, TIMEOUT_MS));
    let mut policy = (*arrival.policy).clone();
    policy.idempotent = idempotent;
    policy.total_ms = TIMEOUT_MS;
    arrival.policy = Arc::new(policy);
    arrival.max_attempts = 2;
    arrival
}

fn next_effect(request: &ScheduledRequest) -> Effect {
    let timed_out = async {
        async_io::Timer::after(WAIT_TIMEOUT).await;
        panic!("no effect in time");
    };
    block_on(request.next_effect().or(timed_out))
}

fn dispatch_target(effect: &Effect) -> &str {
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

/// The load of one prompt's callers: they share a domain until it is clearly fuller than the next.
#[test]
fn choose_keeps_prompt_in_one_domain_until_it_is_full() {
    let domains = ["a", "b", "c"];
    let choice = |requests: [u32; 3]| {
        let domains = domains.iter().zip(requests);
        DomainChoice::new(domains.map(|(domain, n)| capacity(domain, 100, n)))
    };
    let idle = choice([0; 3]);
    for key in 0..200_u64 {
        let key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let home = idle.choose(key, |_| true).unwrap();
        let at = domains.iter().position(|d| **d == *home).unwrap();
        let mut requests = [10; 3];
        requests[at] = 30;
        assert_eq!(choice(requests).choose(key, |_| true), Some(home.clone()));
        requests[at] = 90;
        assert_ne!(choice(requests).choose(key, |_| true), Some(home));
    }
}

#[test]
fn choose_divides_prompts_by_slots() {
    let choice = DomainChoice::new([
        capacity("small", 100, 0),
        capacity("large", 300, 0),
        capacity("dark", 0, 0),
    ]);
    let keys = (0..4_000_u64).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let chosen = keys.filter_map(|key| choice.choose(key, |_| true));
    let large = chosen.filter(|domain| **domain == *"large").count();
    assert!((2_800..3_200).contains(&large), "{large} of 4000");
    assert_eq!(choice.choose(1, |_| false), None);
}
