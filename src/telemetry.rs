//! Logs, metrics and spans.

mod gateway_metrics;
mod logger;
mod metrics;
mod span;

pub use gateway_metrics::GatewayMetrics;
pub use logger::{event, init_log};
pub use metrics::Metrics;
pub use span::{Span, SpanSink, TraceContext};
