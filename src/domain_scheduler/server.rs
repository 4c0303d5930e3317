//! The scheduler of a failure domain, as the hub runs it for all entries.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::domain_scheduler::{
    CallStep, Decision, Grant, RemoteArrival, SchedulerCall, SchedulerReply,
};
use crate::prelude::*;
use crate::scheduler::{Effect, Event, Refusal, RequestId};
use crate::shared_scheduler::SharedScheduler;

/// Interval at which the entry of a waiting request is told that it still waits.
const WAITING_REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Time after the end of a request's own timeout after which its entry is taken to be gone, and
/// the slots that the request holds are freed.
const ABANDONED_TIME: Duration = Duration::from_secs(1);

/// A request of an entry.
#[derive(Debug)]
struct OpenRequest {
    entry: Name,
    /// Number that the entry gave it.
    remote_id: u64,
    /// When it is taken to be abandoned.
    expires_at: Timestamp,
    /// When its entry was last told that it waits; `None` while it runs.
    wait_reported_at: Option<Timestamp>,
}

#[derive(Debug, Default)]
struct State {
    serving: bool,
    open: HashMap<RequestId, OpenRequest>,
    by_entry: HashMap<Name, HashMap<u64, RequestId>>,
}

/// Schedules the requests of all entries for the targets of one failure domain.
#[derive(Debug)]
pub struct DomainScheduler {
    /// The state machine, which knows only the targets of the domain.
    pub scheduler: Arc<SharedScheduler>,
    decisions: async_channel::Sender<Effect>,
    state: Mutex<State>,
}

impl DomainScheduler {
    /// Makes a server around a scheduler that is shared with nothing else; its decisions go to
    /// `decisions`, from where they are passed to [`DomainScheduler::reply`].
    #[must_use]
    pub fn new(scheduler: Arc<SharedScheduler>, decisions: async_channel::Sender<Effect>) -> Self {
        Self {
            scheduler,
            decisions,
            state: Mutex::default(),
        }
    }

    /// Sets whether new requests are accepted; returns whether that changed.
    pub fn set_serving(&self, serving: bool) -> bool {
        let mut state = self.lock();
        std::mem::replace(&mut state.serving, serving) != serving
    }

    /// Whether new requests are accepted.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.lock().serving
    }

    /// Whether targets and loads have to be kept up to date: requests are accepted or still open.
    #[must_use]
    pub fn is_active(&self) -> bool {
        let state = self.lock();
        state.serving || !state.open.is_empty()
    }

    /// Handles a call of an entry; returns a reply that is due at once.
    pub fn on_call(
        &self,
        now: Timestamp,
        entry: &Name,
        call: SchedulerCall,
    ) -> Option<SchedulerReply> {
        let remote_id = call.id;
        match call.step {
            CallStep::Arrive(arrival) => self.on_arrival(now, entry, remote_id, *arrival),
            CallStep::FirstToken(attempt) => {
                let id = self.find(entry, remote_id)?;
                self.scheduler.submit(Event::FirstToken { id, attempt });
                None
            }
            CallStep::Ended(attempt, outcome) => {
                let id = self.find(entry, remote_id)?;
                if let Some(open) = self.lock().open.get_mut(&id) {
                    open.wait_reported_at = Some(now);
                }
                self.scheduler.submit(Event::AttemptEnded {
                    id,
                    attempt,
                    outcome: outcome.clone(),
                });
                if outcome.ends_request() {
                    self.forget(id);
                }
                None
            }
            CallStep::Left => {
                let id = self.find(entry, remote_id)?;
                self.end(id);
                None
            }
        }
    }

    fn on_arrival(
        &self,
        now: Timestamp,
        entry: &Name,
        remote_id: u64,
        arrival: RemoteArrival,
    ) -> Option<SchedulerReply> {
        if let Some(old) = self.find(entry, remote_id) {
            self.end(old);
        }
        let mut state = self.lock();
        if !state.serving {
            return Some(SchedulerReply {
                id: remote_id,
                decision: Decision::Declined,
            });
        }
        let id = self.scheduler.next_id();
        let timeout = Duration::from_millis(arrival.total_ms);
        let open = OpenRequest {
            entry: entry.clone(),
            remote_id,
            expires_at: now + timeout + ABANDONED_TIME,
            wait_reported_at: Some(now),
        };
        state.open.insert(id, open);
        let ids = state.by_entry.entry(entry.clone()).or_default();
        ids.insert(remote_id, id);
        drop(state);
        let mut arrival = arrival.into_arrival(id);
        // A restriction that allows the only domain of this scheduler excludes none of its targets;
        // without it, all requests share one queue.
        let allowed = arrival.allowed.take();
        arrival.allowed = allowed.filter(|allowed| !allowed.contains(&self.scheduler.domain()));
        let decided = self.scheduler.submit_for(arrival, self.decisions.clone());
        (!decided).then_some(SchedulerReply {
            id: remote_id,
            decision: Decision::Queued,
        })
    }

    /// The reply that carries a decision to its entry.
    pub fn reply(&self, effect: Effect) -> Option<(Name, SchedulerReply)> {
        let (id, decision) = match effect {
            Effect::Dispatch {
                id,
                attempt,
                target,
                address,
                weights,
                neighbour,
                within_limit,
                within_warm_up,
                software,
                estimate,
                ..
            } => {
                let grant = Grant {
                    attempt,
                    target,
                    address,
                    weights,
                    neighbour,
                    within_limit,
                    within_warm_up,
                    software,
                    load: (estimate.work, estimate.requests),
                };
                (id, Decision::Dispatch(Box::new(grant)))
            }
            // Entries of earlier builds cannot decode this refusal. `NoTarget` has the right effect:
            // the entry takes the request back.
            Effect::Refuse {
                id,
                refusal: Refusal::Evacuated { retry_after },
            } => (id, Decision::Refuse(Refusal::NoTarget { retry_after })),
            Effect::Refuse { id, refusal } => (id, Decision::Refuse(refusal)),
            Effect::Cancel { id, attempt } => (id, Decision::Cancel(attempt)),
            Effect::Quarantine(_) | Effect::Probe { .. } => return None,
        };
        let mut state = self.lock();
        let open = state.open.get_mut(&id)?;
        if matches!(decision, Decision::Dispatch(_)) {
            open.wait_reported_at = None;
        }
        let (entry, remote_id) = (open.entry.clone(), open.remote_id);
        drop(state);
        if matches!(decision, Decision::Refuse(_)) {
            self.forget(id);
        }
        let reply = SchedulerReply {
            id: remote_id,
            decision,
        };
        Some((entry, reply))
    }

    /// Frees what abandoned requests hold, and returns reports to the entries of waiting requests
    /// that are due.
    pub fn expire(&self, now: Timestamp) -> Vec<(Name, SchedulerReply)> {
        let mut state = self.lock();
        let expired = state.open.iter().filter(|(_, r)| now >= r.expires_at);
        let expired: Vec<RequestId> = expired.map(|(id, _)| *id).collect();
        let mut reports = Vec::new();
        for open in state.open.values_mut() {
            let due = |at: Timestamp| now >= at + WAITING_REPORT_INTERVAL;
            if open.wait_reported_at.is_some_and(due) {
                open.wait_reported_at = Some(now);
                let reply = SchedulerReply {
                    id: open.remote_id,
                    decision: Decision::Queued,
                };
                reports.push((open.entry.clone(), reply));
            }
        }
        drop(state);
        for id in expired {
            log::info!("event=scheduled_request_abandoned id={}", id.0);
            self.end(id);
        }
        reports
    }

    /// Ends the requests of entries that are not live any more.
    pub fn retain_entries(&self, is_live: impl Fn(&str) -> bool) {
        let state = self.lock();
        let gone = state.open.iter().filter(|(_, r)| !is_live(&r.entry));
        let gone: Vec<RequestId> = gone.map(|(id, _)| *id).collect();
        drop(state);
        for id in gone {
            self.end(id);
        }
    }

    fn find(&self, entry: &str, remote_id: u64) -> Option<RequestId> {
        self.lock().by_entry.get(entry)?.get(&remote_id).copied()
    }

    fn end(&self, id: RequestId) {
        self.forget(id);
        self.scheduler.submit(Event::CallerLeft(id));
    }

    fn forget(&self, id: RequestId) {
        let mut state = self.lock();
        if let Some(open) = state.open.remove(&id)
            && let Some(ids) = state.by_entry.get_mut(&open.entry)
        {
            ids.remove(&open.remote_id);
            if ids.is_empty() {
                state.by_entry.remove(&open.entry);
            }
        }
        drop(state);
        self.scheduler.close(id);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
