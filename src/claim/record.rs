//! Stored form of a claim.

use serde::{Deserialize, Serialize};

use crate::claim::ClaimOutcome;
use crate::prelude::*;

/// Stored state of one key. Serialized field names are short because every write carries the whole
/// object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Leading digits of the request's digest.
    #[serde(rename = "d")]
    pub digest: Name,
    /// Claimant that holds or held the claim.
    #[serde(rename = "c")]
    pub claimant: Name,
    /// Time by which a run under this claim has ended, in milliseconds since the Unix epoch.
    #[serde(rename = "e")]
    pub run_deadline_ms: u64,
    /// State of the claim.
    #[serde(rename = "s")]
    pub state: RecordState,
    /// Claimants that released the key or were replaced; a late claim by one of them is not
    /// granted.
    #[serde(rename = "g", default, skip_serializing_if = "SmallVec::is_empty")]
    pub fenced_claimants: SmallVec<[Name; 1]>,
}

/// State of a key's claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// The claimant may dispatch or has dispatched.
    #[serde(rename = "h")]
    Held,
    /// The request was not dispatched; the key is free.
    #[serde(rename = "f")]
    Free,
    /// The request ended with this outcome; a final state.
    #[serde(rename = "o")]
    Settled(ClaimOutcome),
}
