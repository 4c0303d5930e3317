//! Logs, metrics and trace spans.

mod gateway_metrics;
mod line_budget;
mod log_queue;
mod logger;
mod metrics;
mod span;

pub use gateway_metrics::GatewayMetrics;
pub use line_budget::LineBudget;
pub use log_queue::{DEFAULT_LOG_LINES_PER_SECOND, LogQueue};
pub use logger::{init_log, init_queued_log, log_event};
pub use metrics::EntryMetrics;
pub use span::{Span, SpanSink, TraceContext};
