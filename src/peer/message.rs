//! Messages between entries.

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, ReleaseNote};
use crate::claim::{Claim, ClaimError, ClaimOutcome, ClaimRequest, ClaimVerdict};
use crate::domain_scheduler::{SchedulerCall, SchedulerReply};
use crate::part_quarantine::PartNotice;
use crate::peer::{GatewayDigest, GatewayStatus, LoadUpdate, RelayFailure, RelayedStoreUpdate};
use crate::platform::Vm;
use crate::prelude::*;
use crate::scheduler::SuspectRequest;
use crate::store_view::PeerObject;
use crate::stream_origin::{StreamKey, StreamOrigin};

/// Version of the message format; a peer with another version is refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// A message between entries; unknown fields are ignored, and messages of an unknown kind are
/// dropped.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerMessage {
    /// First message of each side of a connection.
    Hello {
        /// Protocol version.
        protocol: u32,
        /// Name of the entry.
        name: Name,
        /// Failure domain of the entry.
        domain: Name,
        /// Random identifier of the sender's process run, by which the receiver notices a restart.
        boot: u64,
        /// Keyed hash that proves knowledge of the shared secret.
        proof: Name,
    },
    /// First message of a connection that the receiver is to relay to a target.
    RelayOpen {
        /// Protocol version.
        protocol: u32,
        /// Name of the entry.
        name: Name,
        /// Random identifier of the sender's process run.
        boot: u64,
        /// Keyed hash that proves knowledge of the shared secret.
        proof: Name,
        /// Name of the target.
        target: Name,
    },
    /// The connection to the target is made; what follows are its bytes.
    RelayOpened,
    /// The connection to the target is not made.
    RelayFailed(RelayFailure),
    /// Heartbeat; its keys are short because it is sent most often.
    #[serde(rename = "b")]
    Heartbeat {
        /// Catalog revision in force.
        #[serde(rename = "r")]
        revision: u64,
        /// Time since that revision came into force, in milliseconds.
        #[serde(rename = "s")]
        since_ms: u64,
        /// Whether the entry is shutting down.
        #[serde(rename = "d")]
        draining: bool,
        /// Whether the entry watches the catalog at the platform and the watch works.
        #[serde(rename = "w", default)]
        watching: bool,
    },
    /// Consecutive notes that bring the receiver from the revision before the first note to the
    /// newest one.
    Notes(Vec<ReleaseNote>),
    /// Requests the full catalog because notes are missing.
    WantCatalog,
    /// The full catalog.
    WholeCatalog(Arc<Catalog>),
    /// Requests the list of VMs, from an entry that the platform has not answered since its start.
    WantVms,
    /// The list of VMs as the sender knows it.
    Vms(Vec<Vm>),
    /// Quarantine, or suspicion, of a request that crashes the targets that run it.
    Quarantine {
        /// Sequence number that the acknowledgement repeats; zero when none is needed.
        #[serde(default)]
        seq: u64,
        /// Fingerprint of customer, route and body.
        fingerprint: Name,
        /// Targets known to have crashed while they ran it, before they began to answer.
        victims: Vec<Name>,
        /// Targets known to have crashed while they answered it.
        #[serde(rename = "answering", default, skip_serializing_if = "Vec::is_empty")]
        answering_victims: Vec<Name>,
        /// Remaining time of the quarantine, in milliseconds; zero while it is only suspected.
        ttl_ms: u64,
    },
    /// Requests that crash targets, as far as the sender knows.
    SuspectRequests(Vec<SuspectRequest>),
    /// Requests what the receiver knows of such requests, from an entry that has started or was cut
    /// off.
    WantSuspectRequests,
    /// Acknowledges [`PeerMessage::Quarantine`].
    #[serde(rename = "quarantine-seen")]
    QuarantineAck {
        /// Sequence number of the quarantine.
        seq: u64,
    },
    /// A target that is leaving or unreachable, as seen by the sender.
    TargetSignal {
        /// Name of the target.
        target: Name,
        /// Whether the target announced that it is leaving; otherwise it stopped answering the
        /// sender.
        leaving: bool,
    },
    /// Updates of the loads of targets that the sender probes.
    #[serde(rename = "l")]
    Loads(Vec<LoadUpdate>),
    /// State of one entry of a gateway, sent at short intervals; its keys are short as well.
    #[serde(rename = "g")]
    Gateway(Box<GatewayStatus>),
    /// State of many entries, merged by the hub of a failure domain.
    #[serde(rename = "d")]
    Digest(Box<GatewayDigest>),
    /// Steps of the sender's requests, for the scheduler that the receiver runs as a hub.
    #[serde(rename = "s")]
    SchedulerCall(SchedulerCall),
    /// Decisions about requests of the receiver.
    #[serde(rename = "t")]
    SchedulerReply(SchedulerReply),
    /// What the sender learned about parts of prompts that end targets.
    #[serde(rename = "p")]
    PromptParts(PartNotice),
    /// Requests what the receiver knows of such parts, from an entry that has started.
    WantPromptParts,
    /// Software versions at which streams began.
    #[serde(rename = "o")]
    StreamOrigins(Vec<StreamOrigin>),
    /// Requests the origins of streams, as far as the receiver knows them.
    WantStreamOrigins(Vec<StreamKey>),
    /// Update of a context store, for entries that do not watch the store themselves.
    #[serde(rename = "k")]
    StoreUpdate(RelayedStoreUpdate),
    /// Requests the objects of one kind that gateways watch, because the platform's store is
    /// unreachable.
    WantObjects {
        /// Index of the kind.
        kind: usize,
    },
    /// The objects of one kind as the sender knows them.
    Objects {
        /// Index of the kind.
        kind: usize,
        /// Revision of the platform's store up to which the sender knows them.
        revision: u64,
        /// The objects.
        objects: Vec<PeerObject>,
    },
    /// Requests that the owner of a claim shard commits a claim.
    Claim {
        /// Sequence number that the reply repeats.
        seq: u64,
        /// Claimant that is to hold the claim.
        claimant: Name,
        /// The request.
        req: ClaimRequest,
    },
    /// Reply to [`PeerMessage::Claim`].
    ClaimReply {
        /// Sequence number of the request.
        seq: u64,
        /// The decision.
        result: Result<ClaimVerdict, ClaimError>,
    },
    /// Requests that the owner of a claim shard stores the outcome of a claim.
    EndClaim {
        /// Sequence number that the reply repeats.
        seq: u64,
        /// The claim.
        claim: Claim,
        /// The outcome; `None` when the request was never dispatched, which frees the key.
        outcome: Option<ClaimOutcome>,
    },
    /// Reply to [`PeerMessage::EndClaim`], sent once the outcome is stored.
    ClaimEnded {
        /// Sequence number of the request.
        seq: u64,
    },
}
