//! Messages as the previous build declares them: the kinds whose content is most likely to grow.

use std::net::SocketAddr;

use guavahold::catalog::PriorityClass;
use guavahold::gateway::TargetLoad;
use guavahold::prefix_keys::BlockKey;
use guavahold::prelude::*;
use guavahold::rate_limit::LimitReport;
use guavahold::scheduler::{AttemptOutcome, Refusal};
use guavahold::store_view::PeerObject;
use guavahold::stream_origin::StreamOrigin;
use serde::Deserialize;

#[derive(Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    Hello {
        protocol: u32,
        name: Name,
        domain: Name,
        boot: u64,
        proof: Name,
    },
    #[serde(rename = "b")]
    Heartbeat {
        #[serde(rename = "r")]
        revision: u64,
        #[serde(rename = "s")]
        since_ms: u64,
        #[serde(rename = "d")]
        draining: bool,
        #[serde(rename = "w", default)]
        watching: bool,
    },
    #[serde(rename = "g")]
    Gateway(Box<GatewayStatus>),
    #[serde(rename = "d")]
    Digest(Box<GatewayDigest>),
    #[serde(rename = "s")]
    SchedulerCall(SchedulerCall),
    #[serde(rename = "t")]
    SchedulerReply(SchedulerReply),
    Objects {
        kind: usize,
        revision: u64,
        objects: Vec<PeerObject>,
    },
}

#[derive(Debug, Default, PartialEq, Deserialize)]
pub struct GatewayStatus {
    #[serde(rename = "r")]
    pub revisions: [u64; 4],
    #[serde(rename = "l", default)]
    pub loads: Vec<(u32, TargetLoad)>,
    #[serde(rename = "h", default)]
    pub cordoned_targets: Vec<u32>,
    #[serde(rename = "d", default)]
    pub unreachable_targets: Vec<u32>,
    #[serde(rename = "x", default)]
    pub retired_below: (u64, u64),
    #[serde(rename = "v", default)]
    pub target_versions: Vec<(u32, u64)>,
    #[serde(rename = "n", default)]
    pub declared_versions: Vec<(u32, u64, u64)>,
    #[serde(rename = "q", default)]
    pub limits: Vec<LimitReport>,
    #[serde(rename = "c", default)]
    pub cut_off_entries: Vec<u32>,
    #[serde(rename = "o", default)]
    pub stream_origins: Vec<StreamOrigin>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct GatewayDigest {
    #[serde(rename = "g")]
    pub merged: GatewayStatus,
    #[serde(rename = "e")]
    pub entries: Vec<u32>,
    #[serde(rename = "a")]
    pub retired_by_all: (u64, u64),
    #[serde(rename = "h", default)]
    pub hubs: Vec<DomainHub>,
    #[serde(rename = "k", default)]
    pub store_updates: Vec<RelayedStoreUpdate>,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct DomainHub {
    #[serde(rename = "d")]
    pub domain: Name,
    #[serde(rename = "n")]
    pub entry: Name,
    #[serde(rename = "q", default)]
    pub queued: u32,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct RelayedStoreUpdate {
    #[serde(rename = "s")]
    pub store: SocketAddr,
    #[serde(rename = "e")]
    pub epoch: u64,
    #[serde(rename = "f")]
    pub from: u64,
    #[serde(rename = "n")]
    pub next: u64,
    #[serde(rename = "c")]
    pub changes: Vec<(Name, Name, u32)>,
    #[serde(rename = "t")]
    pub clock_ms: Option<u64>,
    #[serde(rename = "w", default)]
    pub full_requested: bool,
    #[serde(rename = "l", default)]
    pub store_unreachable: bool,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct SchedulerCall {
    #[serde(rename = "i")]
    pub id: u64,
    #[serde(rename = "s")]
    pub step: CallStep,
}

#[derive(Debug, PartialEq, Deserialize)]
pub enum CallStep {
    #[serde(rename = "a")]
    Arrive(Box<RemoteArrival>),
    #[serde(rename = "f")]
    FirstToken(u32),
    #[serde(rename = "e")]
    Ended(u32, AttemptOutcome),
    #[serde(rename = "x")]
    Left,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct SchedulerReply {
    #[serde(rename = "i")]
    pub id: u64,
    #[serde(rename = "d")]
    pub decision: Decision,
}

#[derive(Debug, PartialEq, Deserialize)]
pub enum Decision {
    #[serde(rename = "q")]
    Queued,
    #[serde(rename = "g")]
    Dispatch(Box<Grant>),
    #[serde(rename = "r")]
    Refuse(Refusal),
    #[serde(rename = "c")]
    Cancel(u32),
    #[serde(rename = "n")]
    Declined,
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct Grant {
    #[serde(rename = "n")]
    pub attempt: u32,
    #[serde(rename = "t")]
    pub target: Name,
    #[serde(rename = "a")]
    pub address: SocketAddr,
    #[serde(rename = "w")]
    pub weights: Name,
    #[serde(rename = "h", default)]
    pub neighbour: Option<SocketAddr>,
    #[serde(rename = "v", default)]
    pub software: Name,
    #[serde(rename = "m", default)]
    pub within_limit: bool,
    #[serde(rename = "l", default)]
    pub load: (u32, u32),
}

#[derive(Debug, PartialEq, Deserialize)]
pub struct RemoteArrival {
    #[serde(rename = "c")]
    pub customer: Name,
    #[serde(rename = "s")]
    pub serves: Name,
    #[serde(rename = "w")]
    pub weights: SmallVec<[Name; 2]>,
    #[serde(rename = "p")]
    pub class: PriorityClass,
    #[serde(rename = "f")]
    pub first_token_ms: u64,
    #[serde(rename = "e")]
    pub total_ms: u64,
    #[serde(rename = "u")]
    pub idempotent: bool,
    #[serde(rename = "k")]
    pub fingerprint: BlockKey,
    #[serde(rename = "a")]
    pub affinity: BlockKey,
    #[serde(rename = "n")]
    pub prompt_tokens: u32,
    #[serde(rename = "h", default)]
    pub shared_tokens: u32,
    #[serde(rename = "t", default)]
    pub stored_tokens: SmallVec<[u32; 2]>,
    #[serde(rename = "d", default)]
    pub store_domain: Option<Name>,
    #[serde(rename = "o", default)]
    pub output_tokens: u32,
    #[serde(rename = "m", default)]
    pub max_attempts: u32,
    #[serde(rename = "r", default)]
    pub resumable: bool,
    #[serde(rename = "v", default)]
    pub software: Option<Name>,
    #[serde(rename = "l", default)]
    pub objective_ms: u64,
}
