//! The platform's store: one configuration, calls that it answers, delays or never answers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use guavahold::platform::{Listing, Object, WatchEvent};
use serde_json::json;

use crate::revision;

/// Longest time for an answer to arrive.
pub const MAX_LATENCY: Duration = Duration::from_millis(40);

/// A call.
#[derive(Clone, Copy, Debug)]
pub enum Question {
    /// All objects.
    List,
    /// Changes after a revision, as soon as there is one or at `until`.
    Watch { from: u64, until: Duration },
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub enum Answer {
    Listing(Listing),
    /// Changes, then a bookmark.
    Events(Vec<WatchEvent>),
    /// The history after that revision is gone.
    Expired,
}

/// A call that the store has not answered.
struct Call {
    number: usize,
    entry: usize,
    question: Question,
}

/// A version of the configuration, and when it was acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub revision: u64,
    pub acknowledged: Duration,
}

/// The store.
pub struct Store {
    /// Calls that wait.
    calls: Vec<Call>,
    /// Answers by the number of their call, and when they arrive.
    answers: BTreeMap<usize, (Duration, Answer)>,
    last_call: usize,
    /// All versions; the version of the configuration is its revision.
    pub changes: Vec<Change>,
    revision: u64,
    /// Revision from which the history is there.
    history_from: u64,
    /// Entries to which it is silent.
    pub silent_to: BTreeSet<usize>,
    /// Additional time of each answer.
    pub delay: Duration,
    rng: fastrand::Rng,
}

impl Store {
    pub fn new(rng: fastrand::Rng) -> Self {
        let first = Change {
            revision: 10,
            acknowledged: Duration::ZERO,
        };
        Self {
            calls: Vec::new(),
            answers: BTreeMap::new(),
            last_call: 0,
            changes: vec![first],
            revision: first.revision,
            history_from: 0,
            silent_to: BTreeSet::new(),
            delay: Duration::ZERO,
            rng,
        }
    }

    /// Writes a new version.
    pub fn change(&mut self, now: Duration) {
        // Other kinds of objects are written as well.
        self.revision += self.rng.u64(1..5);
        self.changes.push(Change {
            revision: self.revision,
            acknowledged: now,
        });
    }

    /// Drops the history.
    pub fn compact(&mut self) {
        self.history_from = self.revision;
    }

    /// Newest version at a revision.
    pub fn version_at(&self, revision: u64) -> u64 {
        let known = self.changes.iter().filter(|c| c.revision <= revision);
        known.map(|c| c.revision).max().unwrap_or_default()
    }

    /// Takes a call and returns its number.
    pub fn call(&mut self, entry: usize, question: Question) -> usize {
        self.last_call += 1;
        self.calls.push(Call {
            number: self.last_call,
            entry,
            question,
        });
        self.last_call
    }

    /// The answer to a call, once it has arrived.
    pub fn answer(&mut self, now: Duration, call: usize) -> Option<Answer> {
        let has_arrived = |(at, _): &(Duration, Answer)| now >= *at;
        if !self.answers.get(&call).is_some_and(has_arrived) {
            return None;
        }
        self.answers.remove(&call).map(|(_, answer)| answer)
    }

    /// Answers the calls that can be answered; those that it is silent to are lost.
    pub fn tick(&mut self, now: Duration) {
        for call in std::mem::take(&mut self.calls) {
            if self.silent_to.contains(&call.entry) {
                continue;
            }
            let Some(answer) = self.find_answer(now, call.question) else {
                self.calls.push(call);
                continue;
            };
            let latency = MAX_LATENCY.mul_f64(self.rng.f64());
            let arrives = now + latency + self.delay;
            self.answers.insert(call.number, (arrives, answer));
        }
    }

    fn find_answer(&self, now: Duration, question: Question) -> Option<Answer> {
        let bookmark = revision(self.revision).to_version();
        let Question::Watch { from, until } = question else {
            let newest = self.version_at(self.revision);
            return Some(Answer::Listing(Listing {
                items: vec![object(newest)],
                version: bookmark,
                ..Listing::default()
            }));
        };
        if from < self.history_from {
            return Some(Answer::Expired);
        }
        let changes = self.changes.iter().filter(|c| c.revision > from);
        let mut events: Vec<_> = changes
            .map(|c| WatchEvent::Put(object(c.revision)))
            .collect();
        if events.is_empty() && now < until {
            return None;
        }
        events.push(WatchEvent::Bookmark(bookmark));
        Some(Answer::Events(events))
    }
}

fn object(version: u64) -> Object {
    let mut object = Object::new("config", "main", json!({ "version": version }));
    object.version = revision(version).to_version();
    object
}
