//! What is logged and counted of a request.

use std::fmt;

use crate::gateway::attempt::Work;
use crate::gateway::reply::Reply;
use crate::gateway::shared::Shared;
use crate::gateway::{Call, OwnAnswer};
use crate::name_hash::name_hash;
use crate::prelude::*;
use crate::scheduler::LoadEstimate;
use crate::telemetry::GatewayMetrics;

/// One in this many requests that went well is logged, unless another number is set.
pub const LOG_SAMPLE: u32 = 64;

/// How a request ended.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EndLabel {
    /// With a target's answer of this status.
    Status(u16),
    /// With an answer of the gateway itself: status, code, when to come back.
    Own(u16, &'static str, Option<Duration>),
    /// With a stream that broke.
    CutShort,
    /// The caller left first.
    Left,
}

impl EndLabel {
    /// Label of the metric.
    fn label(self) -> &'static str {
        match self {
            Self::Status(status) if status < 300 => "success",
            Self::Status(_) => "target-failure",
            Self::Own(_, reason, _) => reason,
            Self::CutShort => "cut-short",
            Self::Left => "caller-left",
        }
    }
}

impl fmt::Display for EndLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => write!(f, "end=answered status={status}"),
            Self::Own(status, reason, pause) => {
                let pause_ms = pause.unwrap_or_default().as_millis();
                write!(
                    f,
                    "end=refused status={status} reason={reason} retry_after_ms={pause_ms}"
                )
            }
            Self::CutShort => f.write_str("end=cut-short"),
            Self::Left => f.write_str("end=caller-left"),
        }
    }
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    /// Target of the attempt.
    pub target: Name,
    /// Weight version that was asked for.
    pub weights: Option<u64>,
    /// Time from the request's arrival to the dispatch.
    pub after: Duration,
    /// Time that the attempt took.
    pub took: Duration,
    /// Parts of the prompt that were to be fetched and saved.
    pub kept: (usize, usize),
    /// What the target was chosen on.
    pub belief: LoadEstimate,
    /// Why it brought no answer; `None` when it brought the answer.
    pub fault: Option<String>,
}

/// The attempts of a request, in their order.
#[derive(Debug, Default)]
pub(crate) struct Trail(SmallVec<[Step; 2]>);

impl Trail {
    /// Adds an attempt that ended.
    pub(crate) fn push(&mut self, step: Step) {
        self.0.push(step);
    }

    /// Counts and logs an answer that was given without the desk.
    pub(crate) fn note_own(metrics: &GatewayMetrics, call: &Call, answer: &OwnAnswer) {
        metrics.requests.with_label_values(&[answer.code]).inc();
        log::info!(
            "event=request_rejected request={} status={} reason={}",
            call.id,
            answer.status,
            answer.code
        );
    }

    /// Counts and logs the end of a request: all that failed, and a sample of the others.
    pub(crate) fn note_end(&self, shared: &Shared, work: &Work, end: &EndLabel, reply: &Reply<'_>) {
        let metrics = &shared.metrics;
        metrics.request_seconds.observe(work.age().as_secs_f64());
        let first = reply
            .first_at
            .map(|at| at.saturating_duration_since(work.arrived));
        if let Some(first) = first {
            metrics.first_byte_seconds.observe(first.as_secs_f64());
        }
        metrics.requests.with_label_values(&[end.label()]).inc();
        for step in &self.0 {
            let label = step.fault.as_deref().map_or("answered", kind_of);
            metrics.attempts.with_label_values(&[label]).inc();
        }
        if end.label() != "success" || is_sampled(&work.call.id, shared.log_sample) {
            self.log(work, end, first);
        }
    }

    fn log(&self, work: &Work, end: &EndLabel, first: Option<Duration>) {
        let id = &work.call.id;
        for (n, step) in self.0.iter().enumerate() {
            log::info!(
                "event=attempt request={id} number={} target={} weights={} work={} requests={} \
                 age_ms={} home_work={} after_ms={} took_ms={} fetched={} saved={} result={:?}",
                n + 1,
                step.target,
                step.weights.unwrap_or_default(),
                step.belief.work,
                step.belief.requests,
                step.belief.age.map_or(-1, millis),
                step.belief.home_work.map_or(-1, i64::from),
                step.after.as_millis(),
                step.took.as_millis(),
                step.kept.0,
                step.kept.1,
                step.fault.as_deref().unwrap_or("answered")
            );
        }
        let tokens = work.call.prompt.as_ref().map_or(0, |p| p.input_tokens);
        let first_ms = first.map_or(-1, millis);
        let patience = work.deadline.saturating_duration_since(work.arrived);
        log::info!(
            "event=request_ended request={id} route={} service={} customer={} tokens={tokens} \
             waited_ms={} first_ms={first_ms} took_ms={} deadline_ms={} attempts={} {end}",
            work.route.name,
            work.service,
            work.holder.as_ref().map_or("-", |h| &*h.customer),
            self.0.first().map_or(work.age(), |s| s.after).as_millis(),
            work.age().as_millis(),
            patience.as_millis(),
            self.0.len()
        );
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

/// The kind of a fault: its text up to the first detail.
fn kind_of(fault: &str) -> &str {
    fault.split(' ').next().unwrap_or(fault)
}

/// Whether a request that went well is logged: the same ones at every entry; none when `sample` is
/// zero.
fn is_sampled(id: &str, sample: u32) -> bool {
    sample > 0 && name_hash(id).is_multiple_of(sample)
}
