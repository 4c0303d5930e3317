//! Logs, metrics and spans.

mod logger;
mod metrics;
mod span;

pub use logger::{event, init_log};
pub use metrics::Metrics;
pub use span::{Span, SpanSink, TraceContext};
