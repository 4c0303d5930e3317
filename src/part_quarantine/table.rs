//! The parts that an entry suspects, and what it decides about prompts with them.

use std::collections::BTreeMap;

use crate::clock::whole_millis;
use crate::name_hash::hash_label;
use crate::part_quarantine::{LostPrompt, LostPrompts, PartNotice, RecentParts, Suspect, Victim};
use crate::prelude::*;
use crate::telemetry::LogValue;

/// Most suspected parts.
const MAX_SUSPECTS: usize = 4_096;
/// Victims from which an entry on whose account a part is sound tells its peers.
const VICTIMS_TO_ANSWER: usize = 2;
/// Shortest time after which a caller whose prompt is held back may come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether a prompt may be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It has no part that is held back.
    Free,
    /// It tries a part again, and no other prompt may until it has ended.
    Trial,
    /// It is held back; the caller may come back after this time.
    Held(Duration),
}

/// Evidence against parts of prompts, and the quarantine that follows from it. Time is a parameter.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    lost: LostPrompts,
    sound: RecentParts,
    suspects: BTreeMap<Name, Suspect>,
}

impl PartQuarantine {
    /// Records that the connection to a target broke before the answer to a prompt began; returns
    /// notices to the peers.
    pub fn record_loss(
        &mut self,
        now: Timestamp,
        target: &Name,
        prompt: LostPrompt,
    ) -> Vec<PartNotice> {
        let ended = self.lost.record_loss(now, target, prompt);
        let victims = ended.into_iter();
        victims
            .map(|(ended_at, prompt)| self.count_victim(now, target, ended_at, prompt))
            .collect()
    }

    /// Records that a target ended; returns notices to the peers.
    pub fn record_end(&mut self, now: Timestamp, target: &Name) -> Vec<PartNotice> {
        let prompts = self.lost.record_end(now, target).into_iter();
        prompts
            .map(|prompt| self.count_victim(now, target, now, prompt))
            .collect()
    }

    /// Records that a target lives, so that only its connections broke.
    pub fn record_alive(&mut self, target: &str) {
        self.lost.record_alive(target);
    }

    fn count_victim(
        &mut self,
        now: Timestamp,
        target: &Name,
        ended_at: Timestamp,
        prompt: LostPrompt,
    ) -> PartNotice {
        let LostPrompt { parts, scope } = prompt;
        for part in &parts {
            self.add_victim(now, part, target, ended_at, &scope);
        }
        PartNotice::Victim {
            parts,
            scope,
            target: target.clone(),
            age_ms: whole_millis(now.saturating_sub(ended_at)),
        }
    }

    /// Adds a victim to a part; returns how many the part has if this one was unknown.
    fn add_victim(
        &mut self,
        now: Timestamp,
        part: &Name,
        target: &Name,
        ended_at: Timestamp,
        scope: &Name,
    ) -> Option<usize> {
        self.make_room(now);
        let once_sound = self.sound.contains(part);
        let suspect = self.suspects.entry(part.clone()).or_default();
        let victim = Victim {
            target: target.clone(),
            ended_at,
        };
        if !suspect.add_victim(victim, scope) {
            return None;
        }
        if suspect.quarantine_if_due(now, once_sound) {
            let victims = suspect.victims().iter().map(|v| &*v.target);
            let victims: Vec<&str> = victims.collect();
            log::warn!(
                "event=part_quarantined part={} victims={} once_sound={once_sound} time_ms={}",
                hash_label(part),
                LogValue(&victims.join(",")),
                suspect.time_left(now).as_millis()
            );
        }
        Some(suspect.victims().len())
    }

    fn make_room(&mut self, now: Timestamp) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, s| !s.is_forgotten(now));
        while self.suspects.len() >= MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.last_end());
            let Some(oldest) = oldest.map(|(part, _)| part.clone()) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }

    /// Records that the answer to a prompt with these parts began; returns a notice to the peers if
    /// any of them was suspected.
    pub fn record_answer<'a>(
        &mut self,
        parts: impl IntoIterator<Item = &'a Name>,
    ) -> Option<PartNotice> {
        let mut cleared = Vec::new();
        for part in parts {
            self.sound.insert(part);
            if self.clear(part, "own") {
                cleared.push(part.clone());
            }
        }
        (!cleared.is_empty()).then_some(PartNotice::Sound {
            parts: cleared,
            after_victims: true,
        })
    }

    fn clear(&mut self, part: &Name, by: &str) -> bool {
        let Some(suspect) = self.suspects.remove(part) else {
            return false;
        };
        if suspect.is_quarantined() {
            log::info!(
                "event=part_cleared part={} by={}",
                hash_label(part),
                LogValue(by)
            );
        }
        true
    }

    /// Applies a peer's notice; returns an answer for all peers if this entry knows better.
    pub fn apply(&mut self, now: Timestamp, peer: &str, notice: PartNotice) -> Option<PartNotice> {
        match notice {
            PartNotice::Victim {
                parts,
                scope,
                target,
                age_ms,
            } => {
                let ended_at = now.saturating_sub(Duration::from_millis(age_ms));
                let mut sound = Vec::new();
                for part in parts {
                    let victims = self.add_victim(now, &part, &target, ended_at, &scope);
                    if victims == Some(VICTIMS_TO_ANSWER) && self.sound.contains(&part) {
                        sound.push(part);
                    }
                }
                (!sound.is_empty()).then_some(PartNotice::Sound {
                    parts: sound,
                    after_victims: false,
                })
            }
            PartNotice::Sound {
                parts,
                after_victims,
            } => {
                for part in parts {
                    self.sound.insert(&part);
                    if after_victims {
                        self.clear(&part, peer);
                    }
                }
                None
            }
        }
    }

    /// What this entry knows of suspected parts, for a peer that joins.
    #[must_use]
    pub fn notices(&self, now: Timestamp) -> Vec<PartNotice> {
        let mut notices = Vec::new();
        for (part, suspect) in &self.suspects {
            for victim in suspect.victims() {
                for scope in suspect.scopes() {
                    notices.push(PartNotice::Victim {
                        parts: vec![part.clone()],
                        scope: scope.clone(),
                        target: victim.target.clone(),
                        age_ms: whole_millis(now.saturating_sub(victim.ended_at)),
                    });
                }
            }
        }
        notices
    }

    /// Whether a prompt of a scope may be sent to a target now. `try_delay` is the time after the
    /// quarantine of a part from which this entry may try it again.
    #[must_use]
    pub fn permission(
        &self,
        now: Timestamp,
        scope: &str,
        parts: &[Name],
        try_delay: impl Fn(&str) -> Duration,
    ) -> Permission {
        let mut permission = Permission::Free;
        for part in parts {
            let Some(suspect) = self.suspects.get(part).filter(|s| s.holds_back(scope)) else {
                continue;
            };
            let left = suspect.time_left(now);
            let is_due = || suspect.is_over_for(now, try_delay(part));
            let may_pass = self.is_explained(suspect, parts) || is_due();
            if !may_pass || suspect.is_tried(now) {
                return Permission::Held(left.max(MIN_RETRY_AFTER));
            }
            permission = Permission::Trial;
        }
        permission
    }

    /// Whether another part, which the prompt does not have, accounts for all victims of a part.
    fn is_explained(&self, suspect: &Suspect, parts: &[Name]) -> bool {
        let others = self.suspects.iter();
        let mut others = others.filter(|(name, s)| s.is_quarantined() && !parts.contains(name));
        others.any(|(_, other)| suspect.is_explained_by(other))
    }

    /// Records that a prompt is sent with [`Permission::Trial`].
    pub fn begin_trial(&mut self, now: Timestamp, parts: &[Name]) {
        self.each_quarantined(parts, |suspect| suspect.begin_trial(now));
    }

    /// Records that a trial ended, whatever its result.
    pub fn end_trial(&mut self, parts: &[Name]) {
        self.each_quarantined(parts, Suspect::end_trial);
    }

    fn each_quarantined(&mut self, parts: &[Name], change: impl Fn(&mut Suspect)) {
        for part in parts {
            let suspect = self.suspects.get_mut(part);
            if let Some(suspect) = suspect.filter(|s| s.is_quarantined()) {
                change(suspect);
            }
        }
    }

    /// Parts that are held back.
    pub fn quarantined(&self) -> impl Iterator<Item = &Name> {
        let suspects = self.suspects.iter();
        let held = suspects.filter(|(_, s)| s.is_quarantined());
        held.map(|(part, _)| part)
    }
}
