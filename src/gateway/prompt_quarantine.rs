//! Quarantine of parts of prompts, shared by the request and control tasks.

use std::sync::{Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use async_io::Timer;

use crate::clock::time_since_boot;
use crate::gateway::admitted_request::AdmittedRequest;
use crate::gateway::attempt::Assignment;
use crate::part_quarantine::{LostPrompt, PartNotice, PartQuarantine, Permission};
use crate::prelude::*;

/// Interval at which a request that waits for a target is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time on the quarantine's clock when the process starts: peers tell of ends before that.
const CLOCK_AT_START: Duration = Duration::from_hours(24);
/// Time for which the entry whose turn it is alone may try a part again, before the next one may too.
const TURN: Duration = Duration::from_secs(5);
/// Most turns that an entry waits.
const MAX_TURNS: u32 = 12;

/// Receiver of notices for the peers.
pub(crate) type PartNoticeReceiver = async_channel::Receiver<PartNotice>;

/// What the tasks of an entry know of parts that end targets.
pub(crate) struct PromptQuarantine {
    entry: Name,
    /// Time since boot at the start of this process.
    origin: Duration,
    /// Live peers, which take turns with this entry in trying a part again.
    peers: ArcSwap<Vec<Name>>,
    table: Mutex<PartQuarantine>,
    notices: async_channel::Sender<PartNotice>,
}

impl PromptQuarantine {
    /// Makes an empty quarantine whose notices go to `notices`.
    pub(crate) fn new(entry: Name, notices: async_channel::Sender<PartNotice>) -> Self {
        Self {
            entry,
            origin: time_since_boot(),
            peers: ArcSwap::default(),
            table: Mutex::default(),
            notices,
        }
    }

    /// Replaces the live peers.
    pub(crate) fn set_peers(&self, peers: Vec<Name>) {
        self.peers.store(Arc::new(peers));
    }

    fn now(&self) -> Timestamp {
        CLOCK_AT_START + time_since_boot().saturating_sub(self.origin)
    }

    /// Time after which the caller of a request that is held back may come back.
    pub(crate) fn held(&self, request: &AdmittedRequest) -> Option<Duration> {
        let parts = request.shared_part_ids();
        let try_delay = |part: &str| self.try_delay(part);
        let (now, scope) = (self.now(), request.part_scope());
        match self.lock().permission(now, scope, &parts, try_delay) {
            Permission::Held(retry_after) => Some(retry_after),
            Permission::Free | Permission::Trial => None,
        }
    }

    /// Completes once a request that waits for a target is held back.
    pub(crate) async fn until_held(&self, request: &AdmittedRequest) -> Duration {
        if request.shared_part_ids().is_empty() {
            return std::future::pending().await;
        }
        loop {
            Timer::after(CHECK_INTERVAL).await;
            if let Some(retry_after) = self.held(request) {
                return retry_after;
            }
        }
    }

    /// Permits an attempt now, and counts it if it tries a part again.
    pub(crate) fn begin_attempt(&self, request: &AdmittedRequest) -> Permission {
        let parts = request.shared_part_ids();
        let now = self.now();
        let mut table = self.lock();
        let try_delay = |part: &str| self.try_delay(part);
        let permission = table.permission(now, request.part_scope(), &parts, try_delay);
        if permission == Permission::Trial {
            table.begin_trial(now, &parts);
        }
        permission
    }

    /// Records the end of an attempt that tried a part again.
    pub(crate) fn end_trial(&self, request: &AdmittedRequest) {
        self.lock().end_trial(&request.shared_part_ids());
    }

    /// Records that a target has begun its answer to a request.
    pub(crate) fn record_answer(&self, request: &AdmittedRequest) {
        let parts = request.shared_part_ids();
        let notice = self.lock().record_answer(&parts);
        self.send(notice);
    }

    /// Records that the connection to a target broke before it began its answer.
    pub(crate) fn record_loss(&self, assignment: &Assignment, request: &AdmittedRequest) {
        let parts = request.shared_part_ids();
        if parts.is_empty() {
            return;
        }
        let prompt = LostPrompt {
            parts: parts.into_vec(),
            scope: request.part_scope().into(),
        };
        let notices = self
            .lock()
            .record_loss(self.now(), &assignment.target, prompt);
        self.send(notices);
    }

    /// Records that a target does not accept connections.
    pub(crate) fn record_end(&self, target: &Name) {
        let notices = self.lock().record_end(self.now(), target);
        self.send(notices);
    }

    /// Records that a target accepts connections.
    pub(crate) fn record_alive(&self, target: &str) {
        self.lock().record_alive(target);
    }

    /// Applies a peer's notice.
    pub(crate) fn apply(&self, peer: &str, notice: PartNotice) {
        let answer = self.lock().apply(self.now(), peer, notice);
        self.send(answer);
    }

    /// What this entry knows, for a peer that joins.
    pub(crate) fn notices(&self) -> Vec<PartNotice> {
        self.lock().notices(self.now())
    }

    /// Time after the quarantine of a part from which this entry may try it again. Entries that see
    /// the same live peers try one after the other: prompts with the part may come at any of them.
    fn try_delay(&self, part: &str) -> Duration {
        let rank = |entry: &str| *blake3::hash(format!("{part} {entry}").as_bytes()).as_bytes();
        let own = rank(&self.entry);
        let peers = self.peers.load();
        let before = peers.iter().filter(|peer| rank(peer) > own).count();
        let turns = u32::try_from(before).unwrap_or(u32::MAX).min(MAX_TURNS);
        TURN * turns
    }

    fn send(&self, notices: impl IntoIterator<Item = PartNotice>) {
        for notice in notices {
            let _ = self.notices.try_send(notice);
        }
    }

    fn lock(&self) -> MutexGuard<'_, PartQuarantine> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AdmittedRequest {
    /// IDs of the parts of the prompt that other prompts may have as well.
    fn shared_part_ids(&self) -> SmallVec<[Name; 4]> {
        let prompt = self.head.prompt.as_ref();
        let parts = prompt.map_or(&[][..], |prompt| prompt.shared_parts());
        parts.iter().map(|part| part.id.clone()).collect()
    }

    /// Scope of the evidence that the request gives: a customer that is isolated has its own.
    fn part_scope(&self) -> &str {
        let isolated = self.holder.as_ref().filter(|h| h.isolated);
        isolated.map_or("", |holder| &holder.customer)
    }
}
