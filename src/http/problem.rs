//! Error responses as `application/problem+json` (RFC 9457).

use std::fmt;
use std::time::Duration;

use http_types::{Response, StatusCode};
use serde::{Deserialize, Serialize};

/// Response header that states whether the request was run.
pub const RUN_STATE_HEADER: &str = "guavahold-run";

/// Whether a target ran a request that failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No target received any byte of the request, or the target stated that it did not run it.
    #[default]
    NotRun,
    /// A target ran the request.
    Ran,
    /// A target may have run the request.
    Unknown,
}

impl RunState {
    /// Header value of this state.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Refusal or failure reported to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable machine-readable code, such as `unknown-model`.
    pub code: &'static str,
    /// Human-readable explanation.
    pub detail: String,
    /// Whether the request was run.
    pub run: RunState,
    /// When to retry, if a retry can help.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Makes a problem for a request that was not run.
    pub fn not_run(status: StatusCode, code: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status,
            code,
            detail: detail.into(),
            run: RunState::NotRun,
            retry_after: None,
        }
    }

    /// Sets whether the request was run.
    #[must_use]
    pub fn with_run(mut self, run: RunState) -> Self {
        self.run = run;
        self
    }

    /// Sets when to retry.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Renders the problem as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::json!({
            "type": format!("urn:guavahold:problem:{}", self.code),
            "title": self.code.replace('-', " "),
            "status": u16::from(self.status),
            "detail": self.detail,
            "run": self.run,
            "retry_after_ms": self.retry_after.map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX)),
        })
        .to_string()
    }

    /// Makes a response of the problem; `Retry-After` is rounded up to whole seconds, at least one.
    #[must_use]
    pub fn into_response(self) -> Response {
        let mut res = Response::new(self.status);
        res.set_body(self.to_json());
        res.insert_header("content-type", "application/problem+json");
        res.insert_header(RUN_STATE_HEADER, self.run.as_str());
        if let Some(after) = self.retry_after {
            let seconds = after.as_millis().div_ceil(1000).max(1);
            res.insert_header("retry-after", seconds.to_string());
        }
        res
    }
}
