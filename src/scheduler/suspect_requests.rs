//! Requests suspected of crashing the targets that run them.

mod fingerprint_state;

use std::collections::{HashMap, VecDeque};

use fingerprint_state::{FingerprintState, LostExchange, QUARANTINE_VICTIMS, SUSPICION_TIME};

use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::scheduler::SuspectRequest;
use crate::scheduler::event::target_of;
use crate::scheduler::fleet::TargetIx;

/// Wait after a crash for notices from peers that ran the same request.
const PEER_NOTICE_WAIT: Duration = Duration::from_millis(50);
/// Most suspected and quarantined requests remembered.
const MAX_FLAGGED: usize = 4096;
/// Most requests remembered as proven harmless.
const MAX_PROVEN: usize = 16_384;
/// Most victims of each kind named in a notice.
const MAX_NOTICE_VICTIMS: usize = 4;

/// A target that died while running a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Victim {
    /// Name of its process; that of the target alone from earlier builds.
    pub(super) name: Name,
    /// Whether it had begun its answer.
    pub(super) answer_began: bool,
}

impl Victim {
    /// Name of the target.
    fn target(&self) -> &str {
        target_of(&self.name)
    }

    /// Whether both are the same process, as far as can be told.
    fn is_same(&self, other: &Self) -> bool {
        let is_bare = |victim: &Self| victim.target().len() == victim.name.len();
        let same_target = self.target() == other.target();
        self.name == other.name || (same_target && (is_bare(self) || is_bare(other)))
    }
}

/// Where a request may be dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Permission {
    /// At any target.
    Anywhere,
    /// Only at these targets, which run it already: it has not been proven harmless yet.
    OnlyOn(SmallVec<[TargetIx; 2]>),
    /// Nowhere until a lost exchange is resolved, notices of peers have arrived, or its current run
    /// has ended.
    Wait,
    /// At one target, beside no other suspected request, since these processes of targets died while
    /// running it.
    Alone(SmallVec<[Name; 2]>),
    /// Nowhere; requests are refused until then.
    Quarantined(Timestamp),
}

/// Runs and crashes of requests, by fingerprint; the number of fingerprints is bounded.
///
/// A lost exchange is unresolved until a probe shows whether its target died. If it did, the target
/// is a victim of the request.
#[derive(Debug)]
pub(super) struct SuspectRequests {
    quarantine_time: Duration,
    states: HashMap<BlockKey, FingerprintState>,
    /// Suspected and quarantined requests, oldest first.
    flagged: VecDeque<BlockKey>,
    /// Requests proven harmless, oldest first.
    proven: VecDeque<BlockKey>,
    /// Requests with a lost exchange, by target.
    unresolved: HashMap<TargetIx, Vec<BlockKey>>,
}

impl SuspectRequests {
    /// Makes an empty table; a quarantine lasts for `quarantine_time`.
    pub(super) fn new(quarantine_time: Duration) -> Self {
        Self {
            quarantine_time,
            states: HashMap::new(),
            flagged: VecDeque::new(),
            proven: VecDeque::new(),
            unresolved: HashMap::new(),
        }
    }

    /// Where a request may be dispatched now.
    pub(super) fn permission(&self, now: Timestamp, fingerprint: &BlockKey) -> Permission {
        let Some(state) = self.states.get(fingerprint) else {
            return Permission::Anywhere;
        };
        if let Some(until) = state.quarantined_until.filter(|until| now < *until) {
            return Permission::Quarantined(until);
        }
        if !state.unresolved.is_empty() && state.may_be_suspected() {
            return Permission::Wait;
        }
        let suspected = state.is_suspected() && now < state.last_death + SUSPICION_TIME;
        let awaiting_peers = now < state.last_death + PEER_NOTICE_WAIT;
        if suspected && (awaiting_peers || !state.running.is_empty()) {
            return Permission::Wait;
        }
        if suspected {
            let victims = state.victims.iter().map(|v| v.name.clone());
            return Permission::Alone(victims.collect());
        }
        if state.proven_harmless || state.running.len() < QUARANTINE_VICTIMS {
            return Permission::Anywhere;
        }
        let targets = state.targets();
        if targets.len() < QUARANTINE_VICTIMS {
            return Permission::Anywhere;
        }
        Permission::OnlyOn(targets)
    }

    /// Whether a request has enough victims to be suspected, or has them once its lost exchanges are
    /// resolved.
    pub(super) fn is_suspected(&self, fingerprint: &BlockKey) -> bool {
        let state = self.states.get(fingerprint);
        state.is_some_and(FingerprintState::may_be_suspected)
    }

    /// Records the start of an attempt.
    pub(super) fn attempt_started(&mut self, fingerprint: &BlockKey, target: TargetIx) {
        let state = self.states.entry(*fingerprint).or_default();
        state.running.push(target);
    }

    /// Records the end of an attempt; a `done` one ran to its end and proves the request harmless.
    pub(super) fn attempt_ended(&mut self, fingerprint: &BlockKey, target: TargetIx, done: bool) {
        let Some(state) = self.states.get_mut(fingerprint) else {
            return;
        };
        if let Some(at) = state.running.iter().position(|t| *t == target) {
            state.running.swap_remove(at);
        }
        if done {
            state.record_whole_run();
        }
        if done && !state.proven_harmless {
            state.proven_harmless = true;
            self.proven.push_back(*fingerprint);
            self.evict_proven();
        } else if state.is_idle() && !state.proven_harmless {
            self.states.remove(fingerprint);
        }
    }

    /// Records a lost exchange with `target`, which may have died; `answer_began` says whether its
    /// answer had begun.
    pub(super) fn exchange_lost(
        &mut self,
        fingerprint: &BlockKey,
        target: TargetIx,
        answer_began: bool,
    ) {
        let state = self.states.entry(*fingerprint).or_default();
        state.unresolved.push(LostExchange {
            target,
            answer_began,
        });
        self.unresolved
            .entry(target)
            .or_default()
            .push(*fingerprint);
    }

    /// Resolves the lost exchanges with `target`: it lives, or it died under the given name and is
    /// a victim of each of their requests. Returns the notices to send to the peers.
    pub(super) fn resolve_lost(
        &mut self,
        now: Timestamp,
        target: TargetIx,
        died: Option<&Name>,
    ) -> Vec<SuspectRequest> {
        let Some(fingerprints) = self.unresolved.remove(&target) else {
            return Vec::new();
        };
        let mut notices = Vec::new();
        for fingerprint in fingerprints {
            let Some(state) = self.states.get_mut(&fingerprint) else {
                continue;
            };
            // If one was lost before an answer, that counts.
            let lost = state.unresolved.iter().filter(|l| l.target == target);
            let answer_began = lost.map(|l| l.answer_began).min().unwrap_or_default();
            state.unresolved.retain(|l| l.target != target);
            match died {
                Some(name) => {
                    let victim = Victim {
                        name: name.clone(),
                        answer_began,
                    };
                    notices.extend(self.add_victim(now, &fingerprint, &victim));
                }
                None if state.is_idle() && !state.proven_harmless => {
                    self.states.remove(&fingerprint);
                }
                None => {}
            }
        }
        notices
    }

    fn add_victim(
        &mut self,
        now: Timestamp,
        fingerprint: &BlockKey,
        victim: &Victim,
    ) -> Option<SuspectRequest> {
        let state = self.states.entry(*fingerprint).or_default();
        if !state.add_victim(now, now, victim) {
            return None;
        }
        if state.victims.len() == 1 && !self.flagged.contains(fingerprint) {
            self.flagged.push_back(*fingerprint);
        }
        let ttl = self.quarantine_if_due(now, fingerprint);
        self.evict_flagged();
        self.make_notice(now, fingerprint, ttl)
    }

    /// Quarantines a request with enough victims, from the latest death on, and returns for how long;
    /// zero if it has too few.
    fn quarantine_if_due(&mut self, now: Timestamp, fingerprint: &BlockKey) -> Duration {
        let Some(state) = self.states.get_mut(fingerprint) else {
            return Duration::ZERO;
        };
        if !state.is_due() {
            return Duration::ZERO;
        }
        let until = state.last_death + self.quarantine_time;
        state.quarantined_until = Some(until);
        until.saturating_sub(now)
    }

    fn make_notice(
        &self,
        now: Timestamp,
        fingerprint: &BlockKey,
        ttl: Duration,
    ) -> Option<SuspectRequest> {
        let state = self.states.get(fingerprint)?;
        let victims = |answer_began: bool| {
            let victims = state.victims.iter();
            let victims = victims.filter(move |v| v.answer_began == answer_began);
            let names = victims.map(|v| v.name.clone());
            names.take(MAX_NOTICE_VICTIMS).collect()
        };
        Some(SuspectRequest {
            fingerprint: *fingerprint,
            victims: victims(false),
            answering_victims: victims(true),
            ttl,
            age: now.saturating_sub(state.last_death),
        })
    }

    /// Merges a peer's notice. Returns a notice to send when the peer only suspects the request,
    /// but its victims together with those known here quarantine it.
    pub(super) fn merge_notice(
        &mut self,
        now: Timestamp,
        suspect: &SuspectRequest,
    ) -> Option<SuspectRequest> {
        if suspect.age >= SUSPICION_TIME {
            return None;
        }
        let (fingerprint, ttl) = (&suspect.fingerprint, suspect.ttl);
        let died_at = now.saturating_sub(suspect.age);
        let state = self.states.entry(*fingerprint).or_default();
        let fresh = state.victims.is_empty();
        for victim in victims_of(suspect) {
            state.add_victim(now, died_at, &victim);
        }
        if fresh {
            self.flagged.push_back(*fingerprint);
        }
        let known = state.quarantined_until.is_some_and(|until| now < until);
        if !ttl.is_zero() {
            let until = now + ttl.min(self.quarantine_time);
            state.quarantined_until = Some(state.quarantined_until.unwrap_or_default().max(until));
        }
        let may_quarantine = ttl.is_zero() && !known;
        let quarantined = may_quarantine.then(|| self.quarantine_if_due(now, fingerprint));
        self.evict_flagged();
        let ttl = quarantined.filter(|ttl| !ttl.is_zero())?;
        self.make_notice(now, fingerprint, ttl)
    }

    /// The suspected and quarantined requests, the latest first, at most `most`.
    pub(super) fn suspects(&self, now: Timestamp, most: usize) -> Vec<SuspectRequest> {
        let latest_first = self.flagged.iter().rev();
        let suspects = latest_first.filter_map(|fingerprint| self.suspect(now, fingerprint));
        suspects.take(most).collect()
    }

    /// What is known of a request, if it is suspected or quarantined now.
    pub(super) fn suspect(&self, now: Timestamp, fingerprint: &BlockKey) -> Option<SuspectRequest> {
        let state = self.states.get(fingerprint)?;
        let until = state.quarantined_until.unwrap_or_default();
        let ttl = until.saturating_sub(now);
        if state.is_forgotten(now) || (ttl.is_zero() && state.is_due()) {
            return None;
        }
        self.make_notice(now, fingerprint, ttl)
    }

    /// Clears the suspicion of requests whose victims are among `dead`: targets that died together
    /// with much of their failure domain.
    pub(super) fn clear_domain_loss(&mut self, dead: &[Name]) {
        for fingerprint in &self.flagged {
            if let Some(state) = self.states.get_mut(fingerprint) {
                state.clear_domain_loss(dead);
            }
        }
        let states = &self.states;
        self.flagged
            .retain(|f| states.get(f).is_some_and(|s| !s.victims.is_empty()));
    }

    /// Number of fingerprints in the table.
    pub(super) fn len(&self) -> usize {
        self.states.len()
    }

    fn evict_flagged(&mut self) {
        while self.flagged.len() > MAX_FLAGGED {
            if let Some(oldest) = self.flagged.pop_front() {
                self.clear_suspicion(&oldest);
            }
        }
    }

    fn clear_suspicion(&mut self, fingerprint: &BlockKey) {
        if let Some(state) = self.states.get_mut(fingerprint) {
            state.victims.clear();
            state.quarantined_until = None;
            if state.is_idle() {
                self.states.remove(fingerprint);
            }
        }
    }

    fn evict_proven(&mut self) {
        while self.proven.len() > MAX_PROVEN {
            let Some(oldest) = self.proven.pop_front() else {
                return;
            };
            if let Some(state) = self.states.get_mut(&oldest) {
                state.proven_harmless = false;
                if state.is_idle() {
                    self.states.remove(&oldest);
                }
            }
        }
    }
}

/// Victims in a peer's notice.
fn victims_of(suspect: &SuspectRequest) -> impl Iterator<Item = Victim> {
    let kinds = [
        (&suspect.victims, false),
        (&suspect.answering_victims, true),
    ];
    kinds.into_iter().flat_map(|(names, answer_began)| {
        let names = names.iter().take(MAX_NOTICE_VICTIMS);
        names.map(move |name| Victim {
            name: name.clone(),
            answer_began,
        })
    })
}
