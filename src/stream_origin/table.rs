//! The origins of streams that an entry knows.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::stream_origin::StreamKey;

/// Time after its last event or answer from which a stream is not taken up any more.
const LIFETIME: Duration = Duration::from_mins(1);
/// Most origins that are kept; beyond that, the oldest are forgotten.
const MAX_ORIGINS: usize = 100_000;

/// Software version at which a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    #[serde(rename = "k")]
    pub key: StreamKey,
    /// Software version of the target that began it.
    #[serde(rename = "s")]
    pub software: Name,
}

#[derive(Clone, Debug)]
struct Record {
    software: Name,
    at: Timestamp,
    /// Whether two versions were reported, so that neither counts.
    is_ambiguous: bool,
}

/// Origins of streams, by key.
#[derive(Debug, Default)]
pub struct OriginTable {
    records: HashMap<StreamKey, Record>,
    /// Keys with the times at which they were recorded, oldest first; a key that was recorded anew
    /// stands here more than once.
    by_age: VecDeque<(Timestamp, StreamKey)>,
}

impl OriginTable {
    /// Records an origin, or that a stream goes on.
    pub fn record(&mut self, now: Timestamp, origin: StreamOrigin) {
        self.expire(now);
        let StreamOrigin { key, software } = origin;
        self.by_age.push_back((now, key));
        let record = self.records.entry(key).or_insert_with(|| Record {
            software: software.clone(),
            at: now,
            is_ambiguous: false,
        });
        record.at = now;
        record.is_ambiguous |= record.software != software;
    }

    /// The software version at which a stream began, if it is known.
    #[must_use]
    pub fn software(&self, now: Timestamp, key: StreamKey) -> Option<Name> {
        let record = self.records.get(&key)?;
        let is_usable = !record.is_ambiguous && now < record.at + LIFETIME;
        is_usable.then(|| record.software.clone())
    }

    /// Number of streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no stream is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((at, key)) = self.by_age.front().copied() {
            if now < at + LIFETIME && self.by_age.len() < MAX_ORIGINS {
                return;
            }
            self.by_age.pop_front();
            if self.records.get(&key).is_some_and(|record| record.at <= at) {
                self.records.remove(&key);
            }
        }
    }
}
