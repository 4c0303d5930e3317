//! Events that a [`Desk`](crate::decide::Desk) reacts to.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, Policy};
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::target::LoadReport;

/// Number of a request within one entry process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// A request that passed the checks of its shape.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Arrival {
    /// Number of the request.
    pub id: RequestId,
    /// Customer.
    pub customer: Name,
    /// Model or service.
    pub serves: Name,
    /// Weight versions that may run the request, preferred first; empty for plain services.
    pub weights: SmallVec<[Name; 2]>,
    /// Serving policy.
    pub policy: Arc<Policy>,
    /// Hash of customer, route and body.
    pub fingerprint: BlockKey,
    /// Key of customer and first block, the same for all weight versions; placement hashes it.
    pub affinity: BlockKey,
    /// Estimated prompt tokens.
    pub tokens: u32,
    /// Prompt tokens that other requests may have brought to a target.
    #[serde(default)]
    pub shared_tokens: u32,
    /// Those of them that a target can fetch from a store, for each of the weight versions.
    #[serde(default)]
    pub kept_tokens: SmallVec<[u32; 2]>,
    /// Failure domain of the store that keeps most of them.
    #[serde(default)]
    pub kept_domain: Option<Name>,
    /// Tokens generated at most.
    #[serde(default)]
    pub output_tokens: u32,
    /// Targets that may run it, one after the other; zero stands for the desk's setting.
    #[serde(default)]
    pub attempts: u32,
    /// Whether a stream that broke may go on at another target.
    #[serde(default)]
    pub resumable: bool,
}

/// A target as the platform's list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Name.
    pub name: Name,
    /// Failure domain.
    pub domain: Name,
    /// Address.
    pub address: SocketAddr,
    /// Model or service that it serves.
    pub serves: Name,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// What an entry noticed about a target by itself or from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Signal {
    /// The target or a peer said that it is leaving.
    Leaving,
    /// A new connection was refused or timed out.
    Unreachable,
    /// A peer found it unreachable: it gets no new work until a new connection was tried.
    Doubted,
    /// A new connection worked.
    Reachable,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The whole answer was received.
    Done,
    /// No byte was handed to the target.
    NotSent,
    /// The target proved that it did not run the request; it may say when to come back.
    Refused {
        /// Pause asked for by the target.
        retry_after: Option<Duration>,
    },
    /// The target ran another weight version than the one asked for.
    WrongWeights,
    /// The target received the request and its connection died or stayed silent before the answer
    /// began.
    Lost,
    /// The answer began and did not end; nothing of it may be spliced with another run.
    CutShort,
    /// The target ran the request and answered that it failed.
    Faulty,
    /// The caller left or the attempt lost against a hedge.
    Cancelled,
}

/// Something that happened.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A request arrived.
    Arrive(Arrival),
    /// The caller of a queued or running request left.
    Left(RequestId),
    /// A claimed request is about to be dispatched; its target is checked once more.
    Confirm(RequestId),
    /// The first byte of an attempt's answer arrived.
    FirstToken {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The platform's list of targets, whole.
    Targets(Vec<TargetInfo>),
    /// A target reported its load.
    Report {
        /// Name of the target.
        target: Name,
        /// The report.
        report: LoadReport,
    },
    /// Something was noticed about a target.
    Signal {
        /// Name of the target.
        target: Name,
        /// What was noticed.
        signal: Signal,
    },
    /// The catalog in force changed.
    Catalog(Arc<Catalog>),
    /// Number of live entries of the own failure domain, this one included.
    Entries(u32),
    /// A peer suspects or quarantines a request.
    Quarantine {
        /// Fingerprint.
        fingerprint: BlockKey,
        /// Targets that died while running it.
        victims: Vec<Name>,
        /// Remaining time of the quarantine; zero while it is only suspected.
        ttl: Duration,
    },
    /// The entry is shutting down.
    Drain,
    /// Time passed.
    Tick,
}
