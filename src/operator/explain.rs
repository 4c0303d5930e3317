//! `guavahold explain`: explains from the logs of all entries what happened to a request.

use std::fmt::Write;

use serde::Serialize;

use crate::operator::log_line::LogLine;
use crate::operator::{Exit, Paint, Report};

/// Time before a step of the request within which events count as its context, in milliseconds.
const CONTEXT_WINDOW_MS: u64 = 15_000;
/// Largest number of context events that are shown; the latest ones are kept.
const MAX_CONTEXT_EVENTS: usize = 12;
/// Cause of a refusal in quarantine.
const QUARANTINED: &str = "targets ended one after the other with equal requests or with a part of its \
     prompt, so it was not sent";
/// Names of log events that change an entry's view of targets, peers, stores or settings.
const STATE_EVENTS: [&str; 37] = [
    "target_unreachable",
    "target_unlisted",
    "target_path",
    "target_word",
    "target_limit",
    "target_limit_lifted",
    "target_limit_shared",
    "target_warm_up",
    "target_warm_up_ended",
    "target_unreadable",
    "evacuation_in_force",
    "evacuation_ended",
    "load_uneven",
    "watch_doubted",
    "config_in_force",
    "weights_named",
    "weights_cutoff",
    "listing_outdated",
    "store_lost",
    "store_regained",
    "missing_targets_kept",
    "objects_adopted",
    "objects_unconfirmed",
    "objects_confirmed",
    "peer_lost",
    "peer_found",
    "request_suspected",
    "suspect_requests_heard",
    "part_quarantined",
    "part_cleared",
    "order",
    "context_freed",
    "context_store_lost",
    "context_store_regained",
    "started",
    "drain_started",
    "fetch_lease",
];

/// Steps of a request and their context.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ExplainReport {
    /// Id of the request.
    request: String,
    /// Log lines of the request's attempts and of its end, ordered by time.
    steps: Vec<LogLine>,
    /// Context: state events of the same entries shortly before, ordered by time.
    around: Vec<LogLine>,
    /// Number of log lines that entries dropped.
    dropped: u64,
}

/// Collects the log lines of a request and their context.
#[must_use]
pub fn explain(request: &str, logs: &str) -> ExplainReport {
    let lines: Vec<LogLine> = logs.lines().map(LogLine::parse).collect();
    let mut steps: Vec<LogLine> = lines
        .iter()
        .filter(|l| l.get("request") == request)
        .cloned()
        .collect();
    steps.sort_by_key(|l| l.number("ts_ms"));
    let dropped = lines
        .iter()
        .filter(|l| l.get("event") == "log_lines_dropped");
    let dropped = dropped.map(|l| l.number("count")).sum();
    let mut around: Vec<LogLine> = lines
        .iter()
        .filter(|l| is_context(l, &steps))
        .cloned()
        .collect();
    around.sort_by_key(|l| l.number("ts_ms"));
    let surplus = around.len().saturating_sub(MAX_CONTEXT_EVENTS);
    around.drain(..surplus);
    ExplainReport {
        request: request.to_owned(),
        steps,
        around,
        dropped,
    }
}

/// Whether a line is a state event of an entry that served the request, shortly before one of its
/// steps, and concerns one of the request's targets or no single target.
fn is_context(line: &LogLine, steps: &[LogLine]) -> bool {
    if !STATE_EVENTS.contains(&line.get("event")) {
        return false;
    }
    let targets = || {
        steps
            .iter()
            .map(|s| s.get("target"))
            .filter(|t| !t.is_empty())
    };
    steps.iter().any(|step| {
        let (at, step_at) = (line.number("ts_ms"), step.number("ts_ms"));
        let recent = at <= step_at && at + CONTEXT_WINDOW_MS >= step_at;
        let about = line.get("target");
        let known = about.is_empty() || targets().any(|t| t == about);
        recent && known && line.get("vm") == step.get("vm")
    })
}

impl ExplainReport {
    /// Cause of the request's outcome, in one sentence.
    fn cause(&self) -> String {
        let Some(end) = self.steps.iter().rev().find(|l| !l.get("end").is_empty()) else {
            return self.cause_without_end();
        };
        let attempts = self.steps.iter().filter(|l| l.get("event") == "attempt");
        let failures: Vec<&str> = attempts
            .map(|l| l.get("result"))
            .filter(|r| *r != "answered")
            .collect();
        let last = failures.last().copied().unwrap_or_default();
        match (end.get("end"), end.get("reason")) {
            ("answered", _) if end.number("status") < 300 => "it was served".into(),
            ("answered", _) => format!(
                "the target ran it and answered status {}, which was passed on",
                end.get("status")
            ),
            ("refused", "deadline-unreachable" | "overloaded") => format!(
                "it was refused without a run: the predicted wait for a place at {} was longer \
                 than the caller would wait; it may come back after {} ms",
                end.get("service"),
                end.get("retry_after_ms")
            ),
            ("refused", "no-target") => {
                format!(
                    "no target of {} was in use at that entry",
                    end.get("service")
                )
            }
            ("refused", "deadline-passed")
                if failures.is_empty() && end.number("attempts") == 0 =>
            {
                "its time passed while it waited for a place; it has not run".into()
            }
            ("refused", "deadline-passed") => {
                "its time passed while a target had it; whether it ran is unknown".into()
            }
            ("refused", "target-failed") if end.number("status") == 503 => {
                format!("targets proved that they did not run it: {last}")
            }
            ("refused", "target-failed") => format!(
                "a target may have run it and gave no answer: {last}; the outcome is unknown"
            ),
            ("refused", "quarantined") => QUARANTINED.into(),
            ("refused", reason) => format!("it was refused: {reason}"),
            ("cut-short", _) => {
                format!("its stream broke ({last}) and could not go on at another target")
            }
            ("caller-left", _) => "the caller left before it was answered".into(),
            (other, _) => format!("it ended as {other}"),
        }
    }

    fn cause_without_end(&self) -> String {
        let mut steps = self.steps.iter();
        match steps.find(|l| l.get("event") == "request_rejected") {
            Some(line) if line.get("reason") == "quarantined" => QUARANTINED.into(),
            Some(line) => format!("it was rejected: {}", line.get("reason")),
            None => self.cause_unknown(),
        }
    }

    fn cause_unknown(&self) -> String {
        if self.dropped > 0 {
            return format!(
                "no line tells its end, and {} lines were left out of these logs",
                self.dropped
            );
        }
        "no line tells of it: it was served and not sampled, or these are not all logs".into()
    }
}

/// What the connection of an attempt had carried, if the log says so.
fn connection(line: &LogLine) -> String {
    match line.get("connection") {
        "" | "-" => String::new(),
        history => format!(" on a {history} connection"),
    }
}

/// Names the peer that relayed the connection of an attempt; empty if none did.
fn relay(line: &LogLine) -> String {
    match line.get("relay") {
        "" | "-" => String::new(),
        peer => format!(" through {peer}"),
    }
}

/// Describes the entry's load estimate of the chosen target; empty if the attempt logged none. In
/// the log, -1 stands for an absent value.
fn load_estimate(line: &LogLine) -> String {
    if line.get("work").is_empty() {
        return String::new();
    }
    let mut out = format!(
        "; {} requests and {} tokens of work were believed there",
        line.get("requests"),
        line.get("work")
    );
    match line.get("age_ms") {
        "-1" => out.push_str(", own ones only"),
        age => {
            let _ = write!(out, ", those of others up to {age} ms old");
        }
    }
    if line.get("home_work") != "-1" {
        let _ = write!(
            out,
            ", {} where its prompt is likely held",
            line.get("home_work")
        );
    }
    out
}

impl Report for ExplainReport {
    fn text(&self, _paint: Paint) -> String {
        let mut out = format!("request {}: {}\n", self.request, self.cause());
        for line in &self.steps {
            let at = line.get("ts_ms");
            let vm = line.get("vm");
            let _ = match line.get("event") {
                "attempt" => writeln!(
                    out,
                    "  {at} {vm} attempt {} at {}{}{} after {} ms, {} ms long: {}{}",
                    line.get("number"),
                    line.get("target"),
                    relay(line),
                    connection(line),
                    line.get("after_ms"),
                    line.get("took_ms"),
                    line.get("result"),
                    load_estimate(line)
                ),
                "response_skipped" => writeln!(
                    out,
                    "  {at} {vm} skipped a response with status {} of request {} on a {} connection",
                    line.get("status"),
                    line.get("of"),
                    line.get("connection")
                ),
                "request_relayed" => writeln!(
                    out,
                    "  {at} {vm} relayed it to {} for {}",
                    line.get("target"),
                    line.get("peer")
                ),
                "request_rejected" => writeln!(
                    out,
                    "  {at} {vm} rejected with status {}: {}",
                    line.get("status"),
                    line.get("reason")
                ),
                "prompt_broken_off" => writeln!(
                    out,
                    "  {at} {vm} {} had parts {} of its prompt, its answer {}",
                    line.get("target"),
                    line.get("parts"),
                    if line.get("answer_began") == "true" {
                        "had begun"
                    } else {
                        "had not begun"
                    }
                ),
                _ => writeln!(
                    out,
                    "  {at} {vm} {} after {} ms of {} ms; it waited {} ms for a place",
                    line.get("end"),
                    line.get("took_ms"),
                    line.get("deadline_ms"),
                    line.get("waited_ms")
                ),
            };
        }
        if !self.around.is_empty() {
            out.push_str("what its entries came to believe before:\n");
        }
        for line in &self.around {
            let about = [
                "target",
                "path",
                "per_s",
                "kind",
                "peer",
                "version",
                "store",
                "result",
                "config",
                "revision",
                "peer_revision",
                "by",
                "silent_ms",
                "part",
                "victims",
            ];
            let about = about.iter().map(|key| line.get(key));
            let about: Vec<&str> = about.filter(|v| !v.is_empty()).collect();
            let _ = writeln!(
                out,
                "  {} {} {} {}",
                line.get("ts_ms"),
                line.get("vm"),
                line.get("event"),
                about.join(" ")
            );
        }
        if self.dropped > 0 {
            let _ = writeln!(out, "{} lines were left out of these logs", self.dropped);
        }
        out
    }

    fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "request": self.request,
            "cause": self.cause(),
            "steps": self.steps,
            "around": self.around,
            "dropped": self.dropped,
        })
    }

    fn exit(&self) -> Exit {
        if self.steps.is_empty() {
            Exit::Failure
        } else {
            Exit::Ok
        }
    }
}
