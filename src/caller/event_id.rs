//! Ids of streamed events, with which a caller can resume a stream at any entry.

use std::fmt;
use std::str::FromStr;

use crate::caller::RunId;
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::secret::Secret;

/// Identifies a run, its target and one of its events.
///
/// Its text is `run~target~weights~mac~number`. The message authentication code (MAC) is a keyed
/// BLAKE3 hash that also covers the customer and the request's fingerprint, so that no other
/// customer can use the id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Id of the run.
    pub run: RunId,
    /// Name of the target that has the run.
    pub target: Name,
    /// Weight version of the run.
    pub weights: Name,
    /// Number of the event within the run, counted from zero.
    pub number: u64,
    mac: Name,
}

impl EventId {
    /// Makes the id of event number zero of a run.
    #[must_use]
    pub fn new(
        secret: &Secret,
        customer: &str,
        fingerprint: &BlockKey,
        run: &RunId,
        target: &Name,
        weights: &Name,
    ) -> Self {
        Self {
            run: run.clone(),
            target: target.clone(),
            weights: weights.clone(),
            number: 0,
            mac: secret.event_id_mac(&[customer, run.as_str(), target, weights], fingerprint),
        }
    }

    /// Whether the id was issued to `customer` for a request with this fingerprint.
    #[must_use]
    pub fn is_valid_for(&self, secret: &Secret, customer: &str, fingerprint: &BlockKey) -> bool {
        let parts = [customer, self.run.as_str(), &self.target, &self.weights];
        let expected = secret.event_id_mac(&parts, fingerprint);
        // Hashes compare in constant time, so that timing reveals nothing about the MAC.
        blake3::hash(expected.as_bytes()) == blake3::hash(self.mac.as_bytes())
    }

    /// Id of event `number` of the same run.
    #[must_use]
    pub fn with_number(&self, number: u64) -> Self {
        Self {
            number,
            ..self.clone()
        }
    }
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let run = self.run.as_str();
        let Self {
            target,
            weights,
            mac,
            number,
            ..
        } = self;
        write!(f, "{run}~{target}~{weights}~{mac}~{number}")
    }
}

impl FromStr for EventId {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.split('~');
        let mut next = || parts.next().ok_or(());
        let (run, target, weights, mac, number) = (next()?, next()?, next()?, next()?, next()?);
        Ok(Self {
            run: run.parse()?,
            target: target.into(),
            weights: weights.into(),
            number: number.parse().map_err(|_| ())?,
            mac: mac.into(),
        })
    }
}
