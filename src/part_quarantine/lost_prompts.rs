//! Prompts whose connections broke, until it is known whether their targets ended.

use std::collections::{HashMap, VecDeque};

use crate::prelude::*;

/// Time between a broken connection and the end of its target, in either order, in which they
/// belong together.
const MATCH_WINDOW: Duration = Duration::from_secs(3);
/// Most ends of targets remembered.
const MAX_ENDS: usize = 256;
/// Most lost prompts remembered for one target.
const MAX_PROMPTS_PER_TARGET: usize = 64;

/// A prompt that was at a target when the connection broke, before its answer began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostPrompt {
    /// Parts that other prompts may have as well.
    pub parts: Vec<Name>,
    /// The customer if it is isolated, otherwise empty.
    pub scope: Name,
}

/// Lost prompts by target, and targets that ended recently.
#[derive(Clone, Debug, Default)]
pub struct LostPrompts {
    waiting: HashMap<Name, Vec<(Timestamp, LostPrompt)>>,
    ends: VecDeque<(Name, Timestamp)>,
}

impl LostPrompts {
    /// Records a lost prompt; returns it with the time of its target's end if that is known.
    pub fn record_loss(
        &mut self,
        now: Timestamp,
        target: &Name,
        prompt: LostPrompt,
    ) -> Option<(Timestamp, LostPrompt)> {
        let mut ends = self.ends.iter().rev();
        let ended = ends.find(|(name, at)| name == target && now < *at + MATCH_WINDOW);
        if let Some((_, at)) = ended {
            return Some((*at, prompt));
        }
        self.waiting
            .retain(|_, prompts| prompts.iter().any(|(at, _)| now < *at + MATCH_WINDOW));
        let prompts = self.waiting.entry(target.clone()).or_default();
        if prompts.len() < MAX_PROMPTS_PER_TARGET {
            prompts.push((now, prompt));
        }
        None
    }

    /// Records that a target ended; returns the prompts that it had.
    pub fn record_end(&mut self, now: Timestamp, target: &Name) -> Vec<LostPrompt> {
        let known = self
            .ends
            .iter()
            .any(|(name, at)| name == target && now < *at + MATCH_WINDOW);
        if !known {
            self.ends.push_back((target.clone(), now));
            if self.ends.len() > MAX_ENDS {
                self.ends.pop_front();
            }
        }
        let prompts = self.waiting.remove(target).unwrap_or_default();
        let recent = prompts
            .into_iter()
            .filter(|(at, _)| now < *at + MATCH_WINDOW);
        recent.map(|(_, prompt)| prompt).collect()
    }

    /// Records that a target lives: only its connections broke.
    pub fn record_alive(&mut self, target: &str) {
        self.waiting.remove(target);
    }
}
