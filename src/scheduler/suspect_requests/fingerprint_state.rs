//! Runs and crashes of one request.

use crate::prelude::*;
use crate::scheduler::fleet::TargetIx;
use crate::scheduler::suspect_requests::Victim;

/// Time after a crash for which its request stays suspected.
pub(super) const SUSPICION_TIME: Duration = Duration::from_mins(10);
/// Victims without an answer that put a request into quarantine. A request that has not yet run to
/// its end is dispatched to at most this many targets at once, so that it cannot crash more.
pub(super) const QUARANTINE_VICTIMS: usize = 2;
/// Victims of both kinds that put a request into quarantine. Targets that end for another reason
/// while they answer take many sound requests along, some of them twice in a row.
const QUARANTINE_ALL_VICTIMS: usize = 4;
/// Victims of both kinds from which a request runs alone.
const SUSPECT_ALL_VICTIMS: usize = QUARANTINE_ALL_VICTIMS - 1;

/// A target with a lost exchange of which it is not known whether it died.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LostExchange {
    /// The target.
    pub(super) target: TargetIx,
    /// Whether its answer had begun.
    pub(super) answer_began: bool,
}

/// Runs and crashes of the requests with one fingerprint.
#[derive(Debug, Default)]
pub(super) struct FingerprintState {
    /// Targets that run it for this entry, one item for each attempt.
    pub(super) running: SmallVec<[TargetIx; 2]>,
    /// Lost exchanges; whether their targets died is not known yet.
    pub(super) unresolved: SmallVec<[LostExchange; 2]>,
    /// Targets that died while running it, oldest first.
    pub(super) victims: SmallVec<[Victim; 2]>,
    /// Time of the latest victim's death.
    pub(super) last_death: Timestamp,
    /// End of its quarantine, once it was quarantined.
    pub(super) quarantined_until: Option<Timestamp>,
    /// Whether a run ended normally since the last victim.
    pub(super) proven_harmless: bool,
}

impl FingerprintState {
    /// Whether it has no runs, lost exchanges, victims or quarantine, so that it can be removed
    /// unless it is proven harmless.
    pub(super) fn is_idle(&self) -> bool {
        let unused = self.running.is_empty() && self.unresolved.is_empty();
        unused && self.victims.is_empty() && self.quarantined_until.is_none()
    }

    /// Whether the victims suffice for a quarantine.
    pub(super) fn is_due(&self) -> bool {
        self.victims.len() >= QUARANTINE_ALL_VICTIMS || self.early_victims() >= QUARANTINE_VICTIMS
    }

    /// Whether the victims suffice to let it run alone.
    pub(super) fn is_suspected(&self) -> bool {
        self.victims.len() >= SUSPECT_ALL_VICTIMS || self.early_victims() > 0
    }

    /// Whether it is suspected if the targets of all lost exchanges died.
    pub(super) fn may_be_suspected(&self) -> bool {
        let is_early = |lost: &LostExchange| !lost.answer_began;
        let all = self.victims.len() + self.unresolved.len();
        self.is_suspected()
            || self.unresolved.iter().any(is_early)
            || (!self.unresolved.is_empty() && all >= SUSPECT_ALL_VICTIMS)
    }

    /// Victims that died before they began an answer.
    fn early_victims(&self) -> usize {
        self.victims.iter().filter(|v| !v.answer_began).count()
    }

    /// Forgets the victims if the last died so long ago that the request is not suspected any more.
    fn forget_old_victims(&mut self, now: Timestamp) {
        let quarantined = self.quarantined_until.is_some_and(|until| now < until);
        if !quarantined && now >= self.last_death + SUSPICION_TIME {
            self.victims.clear();
        }
    }

    /// Whether what counts against it is so old that it is not suspected any more.
    pub(super) fn is_forgotten(&self, now: Timestamp) -> bool {
        self.victims.is_empty() || now >= self.last_death + SUSPICION_TIME
    }

    /// Adds a victim that died at `died_at`; `false` when it was known already.
    pub(super) fn add_victim(
        &mut self,
        now: Timestamp,
        died_at: Timestamp,
        victim: &Victim,
    ) -> bool {
        self.forget_old_victims(now);
        if self.victims.iter().any(|known| known.is_same(victim)) {
            return false;
        }
        self.victims.push(victim.clone());
        self.last_death = self.last_death.max(died_at);
        self.proven_harmless = false;
        true
    }

    /// Records that a run ended normally. That takes back all victims that had not begun an answer, and
    /// the oldest of the others.
    pub(super) fn record_whole_run(&mut self) {
        if self.quarantined_until.is_some() {
            return;
        }
        let oldest = self.victims.iter().position(|v| v.answer_began);
        if let Some(oldest) = oldest {
            self.victims.remove(oldest);
        }
        self.victims.retain(|v| v.answer_began);
    }

    /// Forgets victims that died with much of their failure domain. If the domain was lost, the request
    /// was at one of them, or went on at another.
    pub(super) fn clear_domain_loss(&mut self, dead: &[Name]) {
        let few = !self.is_due() && self.victims.len() < SUSPECT_ALL_VICTIMS;
        let may_clear = few && self.quarantined_until.is_none();
        let is_dead = |v: &Victim| dead.iter().any(|name| **name == *v.target());
        let all_early_dead = self.victims.iter().all(|v| v.answer_began || is_dead(v));
        if may_clear && all_early_dead {
            self.victims.retain(|v| !is_dead(v));
        }
    }

    /// The distinct targets that run it now.
    pub(super) fn targets(&self) -> SmallVec<[TargetIx; 2]> {
        let mut targets = self.running.clone();
        targets.sort_unstable();
        targets.dedup();
        targets
    }
}
