//! The state machine behind a lock, and handles of the requests that receive its effects.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::clock::time_since_boot;
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::residency::AllowedDomains;
use crate::scheduler::{
    Arrival, AttemptOutcome, Effect, Event, LoadSpread, OwnLoad, RequestId, Scheduler,
    SuspectRequest, WarmingTarget,
};
use crate::shared_scheduler::QuarantineNotices;

/// A [`Scheduler`] behind a lock. It sends each effect to the request that it concerns, and all
/// others to the control task.
#[derive(Debug)]
pub struct SharedScheduler {
    state: Mutex<State>,
    next_id: AtomicU64,
    /// Origin of the scheduler's time, as time since boot: pauses that targets ask for end on time
    /// even if the VM was suspended meanwhile.
    origin: Duration,
    control: async_channel::Sender<Effect>,
    notices: Arc<QuarantineNotices>,
}

#[derive(Debug)]
struct State {
    scheduler: Scheduler,
    /// Senders to the handles of the open requests.
    handles: HashMap<RequestId, async_channel::Sender<Effect>>,
    /// Effects of the latest event; empty between events, kept for its allocation.
    effects: Vec<Effect>,
}

impl SharedScheduler {
    /// Puts a state machine behind a lock; effects that concern no request go to `control`.
    #[must_use]
    pub fn new(
        scheduler: Scheduler,
        control: async_channel::Sender<Effect>,
        notices: Arc<QuarantineNotices>,
    ) -> Self {
        let state = State {
            scheduler,
            handles: HashMap::new(),
            effects: Vec::new(),
        };
        Self {
            state: Mutex::new(state),
            next_id: AtomicU64::new(random_first_id()),
            origin: time_since_boot(),
            control,
            notices,
        }
    }

    /// Returns a number for a new request, which none of an earlier process of this entry has in all
    /// likelihood.
    #[must_use]
    pub fn next_id(&self) -> RequestId {
        RequestId(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Number of requests that have not ended: queued, delayed, running or sending their response.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.lock().handles.len()
    }

    /// Number of requests that are queued for a target.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.lock().scheduler.queued()
    }

    /// Load of each listed target by this entry's own requests.
    #[must_use]
    pub fn own_loads(&self) -> HashMap<Name, OwnLoad> {
        self.lock().scheduler.own_loads()
    }

    /// How evenly the targets are loaded, for each service whose load is known late.
    #[must_use]
    pub fn load_spreads(&self) -> Vec<LoadSpread> {
        self.lock().scheduler.load_spreads()
    }

    /// Listed targets that were found to have ended less than a second ago.
    #[must_use]
    pub fn newly_unreachable(&self) -> Vec<Name> {
        self.lock().scheduler.newly_unreachable()
    }

    /// Whether a request may be sent to a target now.
    #[must_use]
    pub fn may_send(&self, target: &str) -> bool {
        self.lock().scheduler.may_send(target)
    }

    /// Whether a listed target is in one of the failure domains `allowed`.
    #[must_use]
    pub fn is_allowed(&self, target: &str, allowed: &AllowedDomains) -> bool {
        self.lock().scheduler.is_allowed(target, allowed)
    }

    /// Whether the listed target with an address is in one of the failure domains `allowed`.
    #[must_use]
    pub fn is_allowed_at(&self, address: SocketAddr, allowed: &AllowedDomains) -> bool {
        self.lock().scheduler.is_allowed_at(address, allowed)
    }

    /// Failure domain of this scheduler.
    #[must_use]
    pub fn domain(&self) -> Name {
        self.lock().scheduler.domain().clone()
    }

    /// Counts a request that no scheduler counted against the share of a target that warms up;
    /// `false` if the share permits none now.
    #[must_use]
    pub fn count_uncounted(&self, target: &str) -> bool {
        let now = self.now();
        self.lock().scheduler.count_uncounted(now, target)
    }

    /// The targets that warm up.
    #[must_use]
    pub fn warming_targets(&self) -> Vec<WarmingTarget> {
        let now = self.now();
        self.lock().scheduler.warming_targets(now)
    }

    /// Whether a target is in an evacuated failure domain.
    #[must_use]
    pub fn is_evacuated(&self, target: &str) -> bool {
        self.lock().scheduler.is_evacuated(target)
    }

    /// The software version at which every stream of a model or service began that may still be
    /// taken up; `None` if there are several or it is unknown.
    #[must_use]
    pub fn sole_software(&self, serves: &str) -> Option<Name> {
        self.lock().scheduler.sole_software(serves)
    }

    /// Requests that are suspected of crashing targets or quarantined, the latest first, at most
    /// `most`.
    #[must_use]
    pub fn suspects(&self, most: usize) -> Vec<SuspectRequest> {
        let now = self.now();
        self.lock().scheduler.suspects(now, most)
    }

    /// What is known of a request that is quarantined; `None` if it is not.
    #[must_use]
    pub fn quarantined(&self, fingerprint: &BlockKey) -> Option<SuspectRequest> {
        let now = self.now();
        self.lock().scheduler.quarantined(now, fingerprint)
    }

    /// Time until an [`Event::Tick`] has to be submitted; `None` when no timer is set.
    #[must_use]
    pub fn until_wakeup(&self) -> Option<Duration> {
        let now = self.now();
        let wakeup = self.lock().scheduler.next_wakeup();
        wakeup.map(|at| at.saturating_sub(now))
    }

    /// Number of broken invariants found; each is a bug in this program.
    #[must_use]
    pub fn broken_invariants(&self) -> u64 {
        self.lock().scheduler.broken_invariants()
    }

    /// Submits a new request and returns its handle, which receives its effects.
    #[must_use]
    pub fn submit_request(self: &Arc<Self>, arrival: Arrival) -> RequestHandle {
        let id = arrival.id;
        let (tx, rx) = async_channel::unbounded();
        self.lock().handles.insert(id, tx);
        self.submit(Event::Arrive(arrival));
        RequestHandle {
            scheduler: self.clone(),
            id,
            rx,
            finished: AtomicBool::new(false),
        }
    }

    /// Submits a new request whose effects are sent to `effects` until [`SharedScheduler::close`];
    /// returns whether there are any yet.
    pub fn submit_for(&self, arrival: Arrival, effects: async_channel::Sender<Effect>) -> bool {
        let id = arrival.id;
        self.lock().handles.insert(id, effects);
        self.submit_counting(Event::Arrive(arrival), id) > 0
    }

    /// Sends no further effects of a request.
    pub fn close(&self, id: RequestId) {
        self.lock().handles.remove(&id);
    }

    /// Submits an event and sends out its effects.
    pub fn submit(&self, event: Event) {
        self.submit_counting(event, RequestId(0));
    }

    /// Submits an event and sends out its effects; returns how many concern the request `counted`.
    fn submit_counting(&self, event: Event, counted: RequestId) -> usize {
        let now = self.now();
        let mut state = self.lock();
        let State {
            scheduler,
            handles,
            effects,
        } = &mut *state;
        let decided = catch_unwind(AssertUnwindSafe(|| scheduler.on(now, event, effects)));
        if let Err(panic) = decided {
            effects.clear();
            drop(state);
            // A handle that is dropped while a panic unwinds submits an event too; a second panic would
            // end the process.
            if !std::thread::panicking() {
                resume_unwind(panic);
            }
            return 0;
        }
        // Quarantine notices go first: a request that ends waits until peers have acknowledged the
        // notices that were issued before its own effect.
        let (notices, others): (Vec<_>, Vec<_>) = effects
            .drain(..)
            .partition(|effect| matches!(effect, Effect::Quarantine(_)));
        let mut count = 0;
        for effect in notices.into_iter().chain(others) {
            if effect.request() == Some(counted) {
                count += 1;
            }
            self.send_effect(handles, effect);
        }
        count
    }

    fn send_effect(
        &self,
        handles: &HashMap<RequestId, async_channel::Sender<Effect>>,
        effect: Effect,
    ) {
        if let Some(id) = effect.request() {
            if let Some(tx) = handles.get(&id) {
                let _ = tx.try_send(effect);
            }
            return;
        }
        if matches!(effect, Effect::Quarantine(_)) {
            self.notices.expect_notice();
        }
        let _ = self.control.try_send(effect);
    }

    /// Current time on the scheduler's clock.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        time_since_boot().saturating_sub(self.origin)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// First number of a process's requests. Hubs name a request by its entry and its number, and may still
/// decide on those of an earlier process. 32 bits keep the numbers short on the wire.
fn random_first_id() -> u64 {
    fastrand::u32(1..).into()
}

/// Handle of one request. Dropping it before [`RequestHandle::finish`] submits that the caller
/// disconnected.
#[derive(Debug)]
pub struct RequestHandle {
    scheduler: Arc<SharedScheduler>,
    id: RequestId,
    rx: async_channel::Receiver<Effect>,
    finished: AtomicBool,
}

impl RequestHandle {
    /// Waits for the next effect of this request; does not complete when none follows.
    pub async fn next_effect(&self) -> Effect {
        match self.rx.recv().await {
            Ok(effect) => effect,
            Err(_) => std::future::pending().await,
        }
    }

    /// Reports the first byte of an attempt's response.
    pub fn report_first_token(&self, attempt: u32) {
        let id = self.id;
        self.scheduler.submit(Event::FirstToken { id, attempt });
    }

    /// Reports the end of an attempt.
    pub fn report_end(&self, attempt: u32, outcome: AttemptOutcome) {
        let id = self.id;
        self.scheduler.submit(Event::AttemptEnded {
            id,
            attempt,
            outcome,
        });
    }

    /// Closes the handle after the end of the last attempt was reported or the request was refused.
    pub fn finish(&self) {
        self.finished.store(true, Ordering::Relaxed);
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.scheduler.lock().handles.remove(&self.id);
        if !self.finished.load(Ordering::Relaxed) {
            self.scheduler.submit(Event::CallerLeft(self.id));
        }
    }
}
