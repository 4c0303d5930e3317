//! What an object keeps of one claim.

use serde::{Deserialize, Serialize};

use crate::claim::ClaimOutcome;
use crate::prelude::*;

/// The claim of one key; field names are short because every write carries the whole object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Start of the request's digest.
    #[serde(rename = "d")]
    pub digest: Name,
    /// Claimant that holds or held the claim.
    #[serde(rename = "c")]
    pub claimant: Name,
    /// Time after which no run of this claim is going on, in milliseconds since the Unix epoch.
    #[serde(rename = "e")]
    pub ends_ms: u64,
    /// What became of the claim.
    #[serde(rename = "s")]
    pub state: RecordState,
    /// Claimants that gave the key up; a late write in their name is ignored.
    #[serde(rename = "g", default, skip_serializing_if = "SmallVec::is_empty")]
    pub given_up: SmallVec<[Name; 1]>,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// The claimant may dispatch or has dispatched.
    #[serde(rename = "h")]
    Held,
    /// The request was not dispatched; the key is free.
    #[serde(rename = "f")]
    Free,
    /// The request ended; never left again.
    #[serde(rename = "o")]
    Settled(ClaimOutcome),
}
