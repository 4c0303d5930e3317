//! One part that is suspected of ending targets.

use crate::prelude::*;

/// Time within which two entries notice the same end of a target.
const SAME_END_WINDOW: Duration = Duration::from_secs(3);
/// Time between two ends from which they do not count as one event, such as the loss of a rack.
const ROUND_GAP: Duration = Duration::from_millis(300);
/// Victims, and rounds of them, from which a part is quarantined on which no answer ever began.
const MIN_VICTIMS: usize = 3;
const MIN_ROUNDS: usize = 2;
/// Rounds from which a part is quarantined on which answers have begun before the victims.
const MIN_ROUNDS_ONCE_SOUND: usize = 4;
/// Time after which a victim no longer counts against a part that is not quarantined.
const VICTIM_LIFETIME: Duration = Duration::from_mins(10);
/// Duration of the first quarantine; it doubles with each further one.
const FIRST_QUARANTINE: Duration = Duration::from_secs(30);
/// Longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_mins(10);
/// Time after which a trial without a result no longer prevents another one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Most victims remembered.
const MAX_VICTIMS: usize = 8;

/// A target that ended while it had a prompt with the part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Victim {
    /// The target.
    pub target: Name,
    /// When it ended.
    pub ended_at: Timestamp,
}

impl Victim {
    /// Whether both are the same end, as two entries noticed it.
    fn is_same_end(&self, other: &Self) -> bool {
        let apart = self.ended_at.abs_diff(other.ended_at);
        self.target == other.target && apart < SAME_END_WINDOW
    }
}

/// Evidence against a part.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// Latest victims, in the order of their ends.
    victims: SmallVec<[Victim; 4]>,
    /// Scopes of the prompts that had the part.
    scopes: SmallVec<[Name; 1]>,
    /// Quarantines so far.
    quarantines: u32,
    quarantined_until: Option<Timestamp>,
    trial_since: Option<Timestamp>,
}

impl Suspect {
    /// Adds a victim that had a prompt of `scope`; returns whether it was unknown.
    pub fn add_victim(&mut self, victim: Victim, scope: &Name) -> bool {
        if !self.scopes.contains(scope) {
            self.scopes.push(scope.clone());
        }
        if self.victims.iter().any(|known| known.is_same_end(&victim)) {
            return false;
        }
        if !self.is_quarantined() {
            let newest = victim.ended_at;
            self.victims
                .retain(|v| newest < v.ended_at + VICTIM_LIFETIME);
        }
        self.victims.push(victim);
        self.victims.sort_by_key(|v| v.ended_at);
        if self.victims.len() > MAX_VICTIMS {
            self.victims.remove(0);
        }
        true
    }

    /// The latest victims.
    #[must_use]
    pub fn victims(&self) -> &[Victim] {
        &self.victims
    }

    /// Scopes of the prompts that had the part.
    #[must_use]
    pub fn scopes(&self) -> &[Name] {
        &self.scopes
    }

    /// Time of the latest victim's end.
    #[must_use]
    pub fn last_end(&self) -> Timestamp {
        self.victims.last().map_or(Timestamp::ZERO, |v| v.ended_at)
    }

    /// Whether nothing counts against the part any more.
    #[must_use]
    pub fn is_forgotten(&self, now: Timestamp) -> bool {
        !self.is_quarantined() && now >= self.last_end() + VICTIM_LIFETIME
    }

    /// Starts or extends the quarantine if the evidence suffices; `once_sound` says whether an
    /// answer began on the part before. Returns whether a quarantine began.
    pub fn quarantine_if_due(&mut self, now: Timestamp, once_sound: bool) -> bool {
        let rounds = self.rounds();
        let due = if once_sound {
            rounds >= MIN_ROUNDS_ONCE_SOUND
        } else {
            rounds >= MIN_ROUNDS && self.victims.len() >= MIN_VICTIMS
        };
        if !due {
            return false;
        }
        let begins = self.quarantined_until.is_none_or(|until| now >= until);
        self.quarantines += u32::from(begins);
        let doublings = self.quarantines.saturating_sub(1).min(16);
        let time = FIRST_QUARANTINE * 2_u32.pow(doublings);
        self.quarantined_until = Some(now + time.min(MAX_QUARANTINE));
        self.trial_since = None;
        begins
    }

    /// Ends of victims that are far enough apart to be separate events.
    fn rounds(&self) -> usize {
        let mut rounds = 0;
        let mut last: Option<Timestamp> = None;
        for victim in &self.victims {
            if last.is_none_or(|last| victim.ended_at >= last + ROUND_GAP) {
                rounds += 1;
                last = Some(victim.ended_at);
            }
        }
        rounds
    }

    /// Whether prompts with the part are held back, until an answer begins on it.
    #[must_use]
    pub fn is_quarantined(&self) -> bool {
        self.quarantined_until.is_some()
    }

    /// Whether prompts of a scope are held back: a customer that shares nothing with others is not
    /// held back on their account alone.
    #[must_use]
    pub fn holds_back(&self, scope: &str) -> bool {
        self.is_quarantined() && self.scopes.iter().any(|s| **s == *scope)
    }

    /// Time until one prompt may try the part again.
    #[must_use]
    pub fn time_left(&self, now: Timestamp) -> Duration {
        let until = self.quarantined_until.unwrap_or_default();
        until.saturating_sub(now)
    }

    /// Whether the time of the quarantine has been over for `delay`.
    #[must_use]
    pub fn is_over_for(&self, now: Timestamp, delay: Duration) -> bool {
        self.time_left(now.saturating_sub(delay)).is_zero()
    }

    /// Whether a trial is running.
    #[must_use]
    pub fn is_tried(&self, now: Timestamp) -> bool {
        let since = self.trial_since;
        since.is_some_and(|since| now < since + TRIAL_TIMEOUT)
    }

    /// Records that a trial begins.
    pub fn begin_trial(&mut self, now: Timestamp) {
        self.trial_since = Some(now);
    }

    /// Records that a trial ended without a result.
    pub fn end_trial(&mut self) {
        self.trial_since = None;
    }

    /// Whether each victim is also one of `other`, whose part may be the one to blame.
    #[must_use]
    pub fn is_explained_by(&self, other: &Self) -> bool {
        let has = |victim: &Victim| other.victims.iter().any(|v| v.is_same_end(victim));
        self.victims.iter().all(has)
    }
}
