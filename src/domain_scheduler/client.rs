//! The entry's side: which scheduler gets a request, and the replies to it.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

use serde::{Deserialize, Serialize};

use crate::domain_scheduler::{
    CallStep, Decision, DomainCapacity, DomainChoice, RemoteArrival, ScheduledRequest,
    SchedulerCall, SchedulerReply,
};
use crate::prelude::*;
use crate::scheduler::Arrival;
use crate::shared_scheduler::SharedScheduler;

/// Time for which a hub that left a request undecided gets no further ones.
const EXCLUSION_TIME: Duration = Duration::from_secs(2);

/// The hub of a failure domain, which runs its scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainHub {
    /// Failure domain.
    #[serde(rename = "d")]
    pub domain: Name,
    /// Name of the entry that is the hub.
    #[serde(rename = "n")]
    pub entry: Name,
    /// Requests that wait for a target there.
    #[serde(rename = "q", default)]
    pub queued: u32,
}

/// Sends calls to the scheduler of a failure domain.
pub trait SchedulerLinks: Send + Sync {
    /// Queues a call for a hub; `false` when there is no link or its queue is full.
    fn call(&self, hub: &str, call: SchedulerCall) -> bool;
}

#[derive(Debug, Default)]
struct State {
    hubs: Vec<DomainHub>,
    /// Choice of the domain, by model.
    choices: HashMap<Name, DomainChoice>,
    /// Hubs that get no requests for a time.
    excluded: HashMap<Name, Timestamp>,
    /// Requests on which a hub decides, by their numbers.
    open: HashMap<u64, OpenRequest>,
}

/// A request on which a hub decides.
#[derive(Debug)]
struct OpenRequest {
    hub: Name,
    /// Channel of the request's handle.
    decisions: async_channel::Sender<Decision>,
}

/// Sends requests to the schedulers of failure domains, or to the entry's own scheduler.
pub struct SchedulerClient {
    /// Scheduler of this entry, for requests that no hub schedules.
    pub(crate) local: Arc<SharedScheduler>,
    links: OnceLock<Box<dyn SchedulerLinks>>,
    state: Mutex<State>,
}

impl SchedulerClient {
    /// Makes a client that uses only the entry's own scheduler until hubs are known.
    #[must_use]
    pub fn new(local: Arc<SharedScheduler>) -> Self {
        Self {
            local,
            links: OnceLock::new(),
            state: Mutex::default(),
        }
    }

    /// Sets the links to the hubs; only the first call has an effect.
    pub fn set_links(&self, links: Box<dyn SchedulerLinks>) {
        let _ = self.links.set(links);
    }

    /// Replaces the known hubs; without any, the entry schedules all requests itself.
    pub fn set_hubs(&self, hubs: Vec<DomainHub>) {
        self.lock().hubs = hubs;
    }

    /// Replaces the capacity of the failure domains; requests that wait at their hubs are added.
    pub fn set_capacities(&self, capacities: Vec<DomainCapacity>) {
        let mut state = self.lock();
        let mut by_model: HashMap<Name, Vec<DomainCapacity>> = HashMap::new();
        for mut capacity in capacities {
            let hub = state.hubs.iter().find(|h| h.domain == capacity.domain);
            capacity.requests += hub.map_or(0, |hub| hub.queued);
            let serves = capacity.serves.clone();
            by_model.entry(serves).or_default().push(capacity);
        }
        let choices = by_model.into_iter();
        state.choices = choices
            .map(|(serves, domains)| (serves, DomainChoice::new(domains)))
            .collect();
    }

    /// Submits a request to the scheduler of the failure domain that suits its prompt, or to the
    /// entry's own one.
    #[must_use]
    pub fn submit(self: &Arc<Self>, arrival: Arrival) -> ScheduledRequest {
        if let Some(hub) = self.choose_hub(&arrival) {
            let (tx, decisions) = async_channel::unbounded();
            let id = arrival.id.0;
            let open = OpenRequest {
                hub: hub.clone(),
                decisions: tx,
            };
            self.lock().open.insert(id, open);
            let request = Box::new(RemoteArrival::from(&arrival));
            if self.call(&hub, id, CallStep::Arrive(request)) {
                return ScheduledRequest::remote(self.clone(), arrival, hub, decisions);
            }
            self.close(id);
        }
        ScheduledRequest::local(self.clone(), arrival)
    }

    fn choose_hub(&self, arrival: &Arrival) -> Option<Name> {
        if arrival.weights.is_empty() {
            return None;
        }
        let now = self.local.now();
        let mut state = self.lock();
        state.excluded.retain(|_, until| now < *until);
        let allows = |domain: &str| arrival.allowed.as_ref().is_none_or(|a| a.contains(domain));
        let hub_of = |domain: &str| {
            let hub = state.hubs.iter().find(|h| *h.domain == *domain);
            hub.filter(|hub| !state.excluded.contains_key(&hub.entry))
        };
        let choice = state.choices.get(&arrival.serves)?;
        let key = arrival.affinity.placement_hash();
        let domain = choice.choose(key, |domain| allows(domain) && hub_of(domain).is_some())?;
        hub_of(&domain).map(|hub| hub.entry.clone())
    }

    /// Passes a hub's decision to its request; one for a request that has ended or was taken back
    /// is ignored.
    pub fn on_reply(&self, hub: &str, reply: SchedulerReply) {
        let state = self.lock();
        if let Some(open) = state.open.get(&reply.id)
            && *open.hub == *hub
        {
            let _ = open.decisions.try_send(reply.decision);
        }
    }

    /// Gives a hub no further requests for a time.
    pub(crate) fn exclude(&self, hub: &Name) {
        let until = self.local.now() + EXCLUSION_TIME;
        log::info!("event=scheduler_excluded hub={hub}");
        self.lock().excluded.insert(hub.clone(), until);
    }

    /// Closes the channels of the requests whose hub is not live any more.
    pub fn retain_hubs(&self, is_live: impl Fn(&str) -> bool) {
        self.lock().open.retain(|_, open| is_live(&open.hub));
    }

    /// Sends one step of a request to its hub; `false` when it cannot be sent.
    pub(crate) fn call(&self, hub: &str, id: u64, step: CallStep) -> bool {
        let links = self.links.get();
        links.is_some_and(|links| links.call(hub, SchedulerCall { id, step }))
    }

    /// Forgets a request.
    pub(crate) fn close(&self, id: u64) {
        self.lock().open.remove(&id);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
