//! Events that a [`Scheduler`](crate::scheduler::Scheduler) reacts to.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, Policy};
use crate::http::RunState;
use crate::prefix_keys::BlockKey;
use crate::prelude::*;
use crate::rate_limit::RateShare;
use crate::residency::AllowedDomains;
use crate::scheduler::{SuspectRequest, WarmUpPlan};
use crate::target::LoadReport;

/// Number of a request, unique within one entry process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// A well-formed request that asks for admission.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Arrival {
    /// Number of the request.
    pub id: RequestId,
    /// Customer that sent it.
    pub customer: Name,
    /// Model or service that runs it; matches [`TargetInfo::serves`].
    pub serves: Name,
    /// Weight versions that may run the request, preferred first; empty for plain services.
    pub weights: SmallVec<[Name; 2]>,
    /// Serving policy: deadlines, priority class and whether the request may run twice.
    pub policy: Arc<Policy>,
    /// Hash of customer, route and body; equal requests share it, so that a request that crashes
    /// targets is recognized when it is sent again.
    pub fingerprint: BlockKey,
    /// Key of the prompt's start (of customer and first block, or of the shared prefix that the
    /// prompt names), the same for all weight versions. Placement hashes it, so that prompts with
    /// the same start go to the same targets.
    pub affinity: BlockKey,
    /// Estimated prompt tokens.
    #[serde(rename = "tokens")]
    pub prompt_tokens: u32,
    /// Prompt tokens that other requests start with too, so that a target may have them cached.
    #[serde(default)]
    pub shared_tokens: u32,
    /// Shared tokens that a target can fetch from a context store, for each of `weights`; zero for
    /// versions that are missing.
    #[serde(rename = "kept_tokens", default)]
    pub stored_tokens: SmallVec<[u32; 2]>,
    /// Failure domain of the context store that holds most of them.
    #[serde(rename = "kept_domain", default)]
    pub store_domain: Option<Name>,
    /// Most tokens that may be generated.
    #[serde(default)]
    pub output_tokens: u32,
    /// Most attempts, one after the other, not counting those of which nothing was sent and the
    /// first few that targets refuse; zero stands for [`SchedulerSettings::max_attempts`], which
    /// counts refused ones.
    ///
    /// [`SchedulerSettings::max_attempts`]: crate::scheduler::SchedulerSettings::max_attempts
    #[serde(rename = "attempts", default)]
    pub max_attempts: u32,
    /// Whether another target may continue a response stream that broke off.
    #[serde(default)]
    pub resumable: bool,
    /// Software version that must run the request, since it goes on with a stream that began there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<Name>,
    /// Latency objective: time within which the response should begin; zero for none.
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    pub objective: Duration,
    /// Failure domains whose targets may run the request; `None` for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed: Option<AllowedDomains>,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Name of the target.
    pub name: Name,
    /// Failure domain in which it runs.
    pub domain: Name,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Model or service that it serves.
    pub serves: Name,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
    /// Start of its process, in milliseconds since the Unix epoch; zero when unknown. A target that
    /// has started anew counts as another one.
    #[serde(default)]
    pub started_ms: u64,
    /// Version of the software that it runs; empty when unknown. A stream can go on only at the
    /// version that began it.
    #[serde(default)]
    pub software: Name,
}

impl TargetInfo {
    /// Name of the target's process, which differs after a restart if its start is known.
    #[must_use]
    pub fn process_name(&self) -> Name {
        if self.started_ms == 0 {
            return self.name.clone();
        }
        format!("{}{PROCESS_MARK}{}", self.name, self.started_ms).into()
    }
}

/// Separates the name of a target from the start of its process.
const PROCESS_MARK: char = '@';

/// Name of the target of a process named by [`TargetInfo::process_name`].
pub(super) fn target_of(process: &str) -> &str {
    process
        .rsplit_once(PROCESS_MARK)
        .map_or(process, |(target, _)| target)
}

/// What an entry learned about a target, by itself or from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Signal {
    /// The target or a peer announced that the target is leaving.
    Leaving,
    /// The target has ended: new connections are refused or time out.
    Unreachable,
    /// New connections time out for now: it gets no new work until one succeeds, and what it has is
    /// left to it.
    Silent,
    /// No connection is made, and nobody confirms that the target has ended: no request is to blame.
    OutOfReach,
    /// A peer found it unreachable: it gets no new work until a probe has tried a new connection.
    #[serde(rename = "doubted")]
    ReportedUnreachable,
    /// A new connection succeeded.
    Reachable,
    /// The target asked this entry to send it nothing for a time.
    Pause(Duration),
    /// A peer found that the target's process had ended; it may have restarted since.
    MayHaveRestarted,
    /// The target announced that it is cold for this time.
    Cold(Duration),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// The whole response was received.
    Done,
    /// No byte of the request was sent to the target, which could not be connected to.
    NotSent,
    /// No byte of the request was sent, since the target had stopped taking work from this entry.
    Withheld,
    /// The target proved that it did not run the request.
    Refused {
        /// Pause before the next request that the target asked for.
        retry_after: Option<Duration>,
    },
    /// The target ran another weight version than the one asked for.
    WrongWeights,
    /// The target may have received the request, and its connection broke or timed out before the
    /// response began.
    Lost,
    /// The connection on which the request was sent hangs, while peers reach the target.
    PathLost,
    /// The response began and broke off. Unless the request is resumable, it must not be joined
    /// with the response of another run.
    CutShort,
    /// The target ran the request and responded with a failure.
    #[serde(rename = "faulty")]
    TargetError,
    /// The caller disconnected, or another attempt of the same request was faster.
    Cancelled,
}

impl AttemptOutcome {
    /// Whether the request has ended with this attempt.
    #[must_use]
    pub fn ends_request(&self) -> bool {
        matches!(self, Self::Done | Self::Cancelled)
    }

    /// Run state of a request after one more attempt of it has ended like this.
    #[must_use]
    pub fn run_state_after(&self, before: RunState) -> RunState {
        match self {
            Self::NotSent | Self::Withheld | Self::Refused { .. } => before,
            Self::Done | Self::WrongWeights | Self::TargetError => RunState::Ran,
            _ if before == RunState::Ran => before,
            _ => RunState::Unknown,
        }
    }

    /// Whether the connection to the target broke after the request was sent.
    #[must_use]
    pub fn is_broken_off(&self) -> bool {
        matches!(self, Self::Lost | Self::CutShort)
    }

    /// Whether no byte of the request was sent.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent | Self::Withheld)
    }
}

/// Input of the state machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A request arrived.
    Arrive(Arrival),
    /// The caller of a queued or running request disconnected.
    #[serde(rename = "left")]
    CallerLeft(RequestId),
    /// A request has its claim (it must not run twice) and is about to be sent: its target is
    /// checked once more.
    Confirm(RequestId),
    /// The first byte of an attempt's response arrived.
    FirstToken {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended.
    #[serde(rename = "ended")]
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The platform's complete list of targets.
    Targets(Vec<TargetInfo>),
    /// The complete set of evacuated failure domains: nothing may be sent to their targets.
    Evacuations(BTreeSet<Name>),
    /// A target reported its load.
    Report {
        /// Name of the target.
        target: Name,
        /// The report.
        report: LoadReport,
    },
    /// An entry learned something about a target.
    Signal {
        /// Name of the target.
        target: Name,
        /// What it learned.
        signal: Signal,
    },
    /// This scheduler's share of the limit that a target set on the requests sent to it changed.
    #[serde(skip)]
    RateShare {
        /// Name of the target.
        target: Name,
        /// The share; `None` when the target has no limit.
        share: Option<RateShare>,
    },
    /// Warm-up plans of all targets that need one; replaces the previous plans.
    #[serde(skip)]
    WarmUpPlans(Arc<HashMap<Name, WarmUpPlan>>),
    /// The catalog in force changed.
    Catalog(Arc<Catalog>),
    /// Number of entries that share the targets and the retry budget, this one included. The
    /// program decides which ones count: the live ones of its failure domain, or all known ones,
    /// since those that are only cut off from this entry retry as well.
    #[serde(rename = "entries")]
    EntryCount(u32),
    /// A peer suspects a request of crashing targets, or has put it into quarantine.
    Quarantine(SuspectRequest),
    /// The entry is shutting down.
    Drain,
    /// Time has passed: timers that are due run.
    Tick,
}
