//! Agreement on which kept context nobody fetches any more.
//!
//! Versions only ever retire. Every entry tells its peers what it holds for retired, takes over the
//! greatest word it hears, and does not fetch what is retired. What is retired is freed once every
//! entry that is known has said so for longer than a fetch may take that was begun before. An entry
//! that is away delays this; what no target can run any more is freed without it.

use std::collections::HashMap;

use crate::name_hash::name_hash;
use crate::prelude::*;

/// Age from which a peer's word no longer counts.
const WORD_AGE: Duration = Duration::from_secs(3);
/// Time for which a fetch may go on after its request was sent.
pub const FETCH_TIME: Duration = Duration::from_secs(2);
/// Further time, for clocks that run at different rates and requests on their way.
const MARGIN: Duration = Duration::from_millis(500);

/// Versions of which all kept context is retired, and of which half of it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Retired {
    /// Everything below this version.
    pub all_below: u64,
    /// The first half, by the hash of its parts, below this version.
    pub half_below: u64,
}

impl Retired {
    /// What either of two says.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            all_below: self.all_below.max(other.all_below),
            half_below: self.half_below.max(other.half_below),
        }
    }

    /// What both of two say.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            all_below: self.all_below.min(other.all_below),
            half_below: self.half_below.min(other.half_below),
        }
    }

    /// Whether a part of a version is retired.
    #[must_use]
    pub fn covers(self, version: u64, part: &str) -> bool {
        version < self.all_below || (version < self.half_below && is_first_half(part))
    }
}

fn is_first_half(part: &str) -> bool {
    blake3::hash(part.as_bytes()).as_bytes()[0].is_multiple_of(2)
}

/// One entry's part in the agreement.
#[derive(Clone, Debug, Default)]
pub struct Retirement {
    own: Retired,
    /// Words by the short identity of their entries.
    heard: HashMap<u32, (Timestamp, Retired)>,
    agreed: Vec<(Timestamp, Retired)>,
    joined: bool,
}

impl Retirement {
    /// What this entry holds for retired.
    #[must_use]
    pub fn own(&self) -> Retired {
        self.own
    }

    /// Retires more.
    pub fn retire(&mut self, more: Retired) {
        self.own = self.own.max(more);
    }

    /// Takes a peer's word.
    pub fn take_word(&mut self, now: Timestamp, peer: &Name, word: Retired) {
        self.heard.insert(name_hash(peer), (now, word));
        self.retire(word);
    }

    /// Takes what several entries, by their short identities, all hold for retired.
    pub fn take_agreed(&mut self, now: Timestamp, entries: &[u32], agreed: Retired) {
        for entry in entries {
            self.heard.insert(*entry, (now, agreed));
        }
    }

    /// Whether this entry may fetch: it has heard from a majority of all `entries` since its start,
    /// so that it knows what was retired before.
    pub fn may_fetch(&mut self, entries: usize) -> bool {
        self.joined |= (self.heard.len() + 1) * 2 > entries;
        self.joined
    }

    /// Takes note of the time; what every entry has held for retired for long enough. `listed` are
    /// the other entries that the store names.
    pub fn free<'a>(
        &mut self,
        now: Timestamp,
        listed: impl IntoIterator<Item = &'a Name>,
    ) -> Retired {
        let known = self.agreed_now(now, listed);
        // An agreement that a word now contradicts does not hold any more.
        self.agreed
            .retain(|(_, agreed)| agreed.min(known) == *agreed);
        if self.agreed.last().is_none_or(|(_, last)| *last != known) {
            self.agreed.push((now, known));
        }
        let wait = FETCH_TIME + MARGIN;
        let old = self.agreed.iter().filter(|(since, _)| now >= *since + wait);
        old.map(|(_, agreed)| *agreed)
            .fold(Retired::default(), Retired::max)
    }

    fn agreed_now<'a>(
        &self,
        now: Timestamp,
        listed: impl IntoIterator<Item = &'a Name>,
    ) -> Retired {
        let said = |word: Option<&(Timestamp, Retired)>| {
            let fresh = word.filter(|(at, _)| now < *at + WORD_AGE);
            fresh.map_or(Retired::default(), |(_, word)| *word)
        };
        let listed = listed
            .into_iter()
            .map(|name| said(self.heard.get(&name_hash(name))));
        let heard = self.heard.values().map(|word| said(Some(word)));
        listed.chain(heard).fold(self.own, Retired::min)
    }
}
