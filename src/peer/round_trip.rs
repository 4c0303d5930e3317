//! Proof of how recent a peer's message is.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::whole_millis;
use crate::name_hash::name_hash;
use crate::prelude::*;

/// Bits of a reading of a clock that hold milliseconds; the others name the process.
const TIME_BITS: u32 = 40;
const TIME_MASK: u64 = (1 << TIME_BITS) - 1;

/// The sender's clock, and the latest readings of their clocks that it has received from others.
///
/// A message that repeats a reading was made after it was taken, however long the message was under
/// way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoundTrip {
    /// The sender's clock, which only the sender can read.
    #[serde(rename = "c")]
    pub clock: u64,
    /// Hash of a receiver's name, and the latest reading of its clock.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub echoes: Vec<(u32, u64)>,
}

/// One entry's clock, and the latest readings of its peers' clocks.
#[derive(Debug)]
pub struct RoundTripClock {
    own_hash: u32,
    /// Distinguishes readings of this process from those of earlier ones of the same entry.
    process: u64,
    received: HashMap<Name, u64>,
}

impl RoundTripClock {
    /// Makes the clock of an entry; `process` is a random number of its process.
    #[must_use]
    pub fn new(entry: &str, process: u64) -> Self {
        Self {
            own_hash: name_hash(entry),
            process: process & !TIME_MASK,
            received: HashMap::new(),
        }
    }

    /// What goes with a message to `receivers`.
    pub fn round_trip<'a>(
        &self,
        now: Timestamp,
        receivers: impl IntoIterator<Item = &'a Name>,
    ) -> RoundTrip {
        let echoes = receivers.into_iter().filter_map(|name| {
            let reading = self.received.get(name);
            reading.map(|reading| (name_hash(name), *reading))
        });
        RoundTrip {
            clock: self.process | (whole_millis(now) & TIME_MASK),
            echoes: echoes.collect(),
        }
    }

    /// Records what came with a peer's message; returns a time after which the message was made, if
    /// the peer repeats a reading of this clock.
    pub fn record(&mut self, peer: &Name, round_trip: &RoundTrip) -> Option<Timestamp> {
        self.received.insert(peer.clone(), round_trip.clock);
        let mut echoes = round_trip.echoes.iter();
        let (_, reading) = echoes.find(|(receiver, _)| *receiver == self.own_hash)?;
        let is_own = *reading & !TIME_MASK == self.process;
        is_own.then(|| Duration::from_millis(*reading & TIME_MASK))
    }

    /// Whether a reading of a peer's clock was received.
    #[must_use]
    pub fn knows(&self, peer: &Name) -> bool {
        self.received.contains_key(peer)
    }

    /// Forgets the peers that are not live any more.
    pub fn retain(&mut self, is_live: impl Fn(&Name) -> bool) {
        self.received.retain(|peer, _| is_live(peer));
    }
}
