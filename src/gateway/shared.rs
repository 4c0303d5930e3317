//! What all tasks of a gateway share.

use std::sync::{Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;

use crate::clock::boot_time;
use crate::decide::Signal;
use crate::desk::{DeskQueue, QuarantineWords};
use crate::gateway::attempt::{Reply, Work};
use crate::gateway::serve::{EndLabel, Step};
use crate::gateway::{Call, Dialect, FetchClock, OwnAnswer};
use crate::kept::Directory;
use crate::rollout::RolloutEffect;
use crate::gateway::connections::Connections;
use crate::gateway::drain::Drain;
use crate::gateway::versions::VersionView;
use crate::prelude::*;
use crate::route::{CallerLimits, RouteTable};
use crate::telemetry::GatewayMetrics;

/// One in this many requests that went well is logged.
const SAMPLED: u8 = 16;

/// State shared by all requests of a gateway.
pub(crate) struct Shared {
    /// The wire formats.
    pub dialect: Arc<dyn Dialect>,
    /// The newest configuration known; `None` before the first.
    pub routes: ArcSwapOption<RouteTable>,
    /// Weight versions of models, as named and as found at targets.
    pub versions: VersionView,
    /// Admission, placement and retries.
    pub desk: Arc<DeskQueue>,
    /// Idle connections to targets.
    pub connections: Connections,
    /// Words about requests that take down targets.
    pub words: Arc<QuarantineWords>,
    /// What stores of context keep.
    pub kept: Arc<Mutex<Directory>>,
    /// Clock of fetches' deadlines.
    pub fetch_clock: Arc<FetchClock>,
    /// State of the shutdown.
    pub drain: Arc<Drain>,
    /// Metrics.
    pub metrics: Arc<GatewayMetrics>,
    /// Words about targets for the control task.
    pub signals: async_channel::Sender<TargetWord>,
    /// What the rollout asks for.
    pub rollout: async_channel::Sender<RolloutEffect>,
    /// Boot time at the start of this process.
    pub origin: Duration,
}

impl Shared {
    /// Time since the start of this process, suspension of the VM included.
    pub(crate) fn now(&self) -> Stamp {
        boot_time().saturating_sub(self.origin)
    }

    /// What stores of context keep.
    pub(crate) fn kept(&self) -> MutexGuard<'_, Directory> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What callers may send.
    pub(crate) fn limits(&self) -> CallerLimits {
        let routes = self.routes.load();
        routes.as_ref().map_or_else(CallerLimits::default, |r| r.limits)
    }

    /// The answer to a request whose route has no service.
    pub(crate) fn no_target(&self) -> OwnAnswer {
        OwnAnswer {
            status: 503,
            code: "no-target",
            retry_after: Some(Duration::from_secs(1)),
        }
    }

    /// Logs and counts an answer given without the desk.
    pub(crate) fn note_own(&self, call: &Call, answer: &OwnAnswer) {
        let ends = &self.metrics.requests;
        ends.with_label_values(&[answer.code]).inc();
        log::info!(
            "event=own_answer request={} path={:?} status={} reason={} retry_after_ms={}",
            call.id,
            call.path,
            answer.status,
            answer.code,
            answer.retry_after.unwrap_or_default().as_millis()
        );
    }

    /// Logs and counts the end of a request.
    pub(crate) fn note_end(&self, work: &Work, end: &EndLabel, trail: &[Step], reply: &Reply<'_>) {
        let metrics = &self.metrics;
        metrics.total.observe(work.age().as_secs_f64());
        if let Some(first) = reply.first_at {
            let wait = first.saturating_duration_since(work.arrived);
            metrics.first_byte.observe(wait.as_secs_f64());
        }
        let label = match end {
            EndLabel::Status(status) if *status < 300 => "success",
            EndLabel::Status(_) => "target-failure",
            EndLabel::Own(..) => return self.note_trail(work, end, trail, reply),
            EndLabel::CutShort => "cut-short",
            EndLabel::Left => "left",
        };
        metrics.requests.with_label_values(&[label]).inc();
        if label != "success" || is_sampled(&work.call.id) {
            self.note_trail(work, end, trail, reply);
        }
    }

    fn note_trail(&self, work: &Work, end: &EndLabel, trail: &[Step], reply: &Reply<'_>) {
        let steps: Vec<String> = trail
            .iter()
            .map(|step| {
                let fault = step.fault.as_deref().unwrap_or("answered");
                let (after, kept) = (step.after.as_millis(), &step.kept);
                format!("{}@{after}ms{kept}:{fault}", step.target)
            })
            .collect();
        let first = reply.first_at.map(|at| at.saturating_duration_since(work.arrived));
        let tokens = work.call.prompt.as_ref().map_or(0, |p| p.input_tokens);
        log::info!(
            "event=request_ended request={} route={} service={} tokens={tokens} first_ms={} \
             took_ms={} end={:?} attempts={:?}",
            work.call.id,
            work.route.name,
            work.service,
            first.map_or(-1, |f| i64::try_from(f.as_millis()).unwrap_or(i64::MAX)),
            work.age().as_millis(),
            format!("{end:?}"),
            steps.join(" ")
        );
    }
}

/// What a request noticed about a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetWord {
    /// Name of the target.
    pub target: Name,
    /// What was noticed.
    pub signal: Signal,
    /// Weight version that it said it runs.
    pub weights: Option<u64>,
}

/// Whether a request that went well is logged: one in sixteen, the same ones at every entry.
fn is_sampled(id: &str) -> bool {
    let hash = blake3::hash(id.as_bytes());
    hash.as_bytes()[0].is_multiple_of(SAMPLED)
}
