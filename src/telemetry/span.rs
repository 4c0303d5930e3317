//! Trace spans of the hops of a request (W3C Trace Context).

use std::fmt;
use std::fs::File;
use std::io::Write;
use std::str::FromStr;
use std::sync::{Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::prelude::*;

/// Ids of a trace and of the span that is the parent of the next hop (`traceparent`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceContext {
    /// Trace id.
    pub trace: u128,
    /// Span id.
    pub span: u64,
    /// Whether the caller may have recorded its spans.
    pub sampled: bool,
}

impl TraceContext {
    /// Starts a new trace with random ids.
    #[must_use]
    pub fn start() -> Self {
        Self {
            trace: fastrand::u128(1..),
            span: fastrand::u64(1..),
            sampled: false,
        }
    }

    /// Makes the context of a child span.
    #[must_use]
    pub fn child(&self) -> Self {
        Self {
            span: fastrand::u64(1..),
            ..*self
        }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(f, "00-{:032x}-{:016x}-{flags:02x}", self.trace, self.span)
    }
}

impl FromStr for TraceContext {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.split('-');
        let mut next = |len: usize| parts.next().filter(|p| p.len() == len).ok_or(());
        let (version, trace, span, flags) = (next(2)?, next(32)?, next(16)?, next(2)?);
        let context = Self {
            trace: u128::from_str_radix(trace, 16).map_err(|_| ())?,
            span: u64::from_str_radix(span, 16).map_err(|_| ())?,
            sampled: u8::from_str_radix(flags, 16).map_err(|_| ())? & 1 == 1,
        };
        let valid = version != "ff" && context.trace != 0 && context.span != 0;
        valid.then_some(context).ok_or(())
    }
}

/// Output of completed spans: a file with one JSON line for each, or nothing.
#[derive(Debug, Default)]
pub struct SpanSink(Option<Mutex<File>>);

impl SpanSink {
    /// Appends spans to the file at `path`; without a path, spans are discarded.
    ///
    /// # Errors
    /// When the file cannot be opened.
    pub fn open(path: Option<&str>) -> std::io::Result<Self> {
        let open = |path| File::options().create(true).append(true).open(path);
        Ok(Self(path.map(open).transpose()?.map(Mutex::new)))
    }

    /// Starts a child span of `parent`.
    #[must_use]
    pub fn start(self: &Arc<Self>, parent: &TraceContext, hop: &'static str) -> Span {
        Span {
            sink: self.clone(),
            parent: parent.span,
            context: parent.child(),
            hop,
            started: Instant::now(),
        }
    }

    fn write(&self, line: &str) {
        if let Some(file) = &self.0 {
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// Span of one hop of a request; it ends and is written when dropped.
#[derive(Debug)]
pub struct Span {
    sink: Arc<SpanSink>,
    parent: u64,
    /// Context to send to the next hop.
    pub context: TraceContext,
    hop: &'static str,
    started: Instant,
}

impl Drop for Span {
    fn drop(&mut self) {
        if self.sink.0.is_none() {
            return;
        }
        let took = self.started.elapsed();
        let ended = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let line = serde_json::json!({
            "trace": format!("{:032x}", self.context.trace),
            "span": format!("{:016x}", self.context.span),
            "parent": format!("{:016x}", self.parent),
            "hop": self.hop,
            "start_us": u64::try_from(ended.saturating_sub(took).as_micros()).unwrap_or(u64::MAX),
            "took_us": u64::try_from(took.as_micros()).unwrap_or(u64::MAX),
        });
        self.sink.write(&format!("{line}\n"));
    }
}
