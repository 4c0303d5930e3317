//! Messages between entries and the scheduler of a failure domain.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::domain_scheduler::RemoteArrival;
use crate::prelude::*;
use crate::scheduler::{AttemptOutcome, Effect, LoadEstimate, Refusal, RequestId};

/// What an entry tells a scheduler about one of its requests; the keys are short because these are
/// the most frequent messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SchedulerCall {
    /// Number of the request, unique within the entry's process.
    #[serde(rename = "i")]
    pub id: u64,
    /// What happened.
    #[serde(rename = "s")]
    pub step: CallStep,
}

/// Step of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallStep {
    /// The request arrived.
    #[serde(rename = "a")]
    Arrive(Box<RemoteArrival>),
    /// The response of an attempt began.
    #[serde(rename = "f")]
    FirstToken(u32),
    /// An attempt ended.
    #[serde(rename = "e")]
    Ended(u32, AttemptOutcome),
    /// The caller disconnected, or the entry schedules the request itself.
    #[serde(rename = "x")]
    Left,
}

/// What a scheduler decided about a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SchedulerReply {
    /// Number of the request.
    #[serde(rename = "i")]
    pub id: u64,
    /// The decision.
    #[serde(rename = "d")]
    pub decision: Decision,
}

/// Decision about a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// The request waits; repeated while it does, so that the entry knows that the scheduler lives.
    #[serde(rename = "q")]
    Queued,
    /// Send the request to a target.
    #[serde(rename = "g")]
    Dispatch(Box<Grant>),
    /// Refuse the request; this ends it.
    #[serde(rename = "r")]
    Refuse(Refusal),
    /// Stop an attempt.
    #[serde(rename = "c")]
    Cancel(u32),
    /// The receiver schedules no requests; the entry has to do it itself.
    #[serde(rename = "n")]
    Declined,
}

/// Permission to send a request to a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the attempt, from one.
    #[serde(rename = "n")]
    pub attempt: u32,
    /// Name of the target.
    #[serde(rename = "t")]
    pub target: Name,
    /// Address of the target.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Weight version to run.
    #[serde(rename = "w")]
    pub weights: Name,
    /// Another target that is more likely to have the start of the prompt cached.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub neighbour: Option<SocketAddr>,
    /// Version of the target's software; empty when unknown.
    #[serde(rename = "v", default)]
    pub software: Name,
    /// Whether the request was counted against a limit of the target.
    #[serde(rename = "m", default, skip_serializing_if = "std::ops::Not::not")]
    pub within_limit: bool,
    /// Whether the request was counted against what the target takes while it warms up.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub within_warm_up: bool,
    /// Work at the target in prompt tokens and requests there, for the log.
    #[serde(rename = "l", default)]
    pub load: (u32, u32),
}

impl Grant {
    /// The effect that the entry carries out.
    #[must_use]
    pub fn into_effect(self, id: RequestId) -> Effect {
        let (work, requests) = self.load;
        Effect::Dispatch {
            id,
            attempt: self.attempt,
            target: self.target,
            address: self.address,
            weights: self.weights,
            hedge: false,
            neighbour: self.neighbour,
            within_limit: self.within_limit,
            within_warm_up: self.within_warm_up,
            software: self.software,
            estimate: LoadEstimate {
                work,
                requests,
                age: Some(Duration::ZERO),
                home_work: None,
            },
        }
    }
}
