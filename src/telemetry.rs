//! Logs, metrics and trace spans.

mod gateway_metrics;
mod line_budget;
mod log_queue;
mod log_text;
mod logger;
mod metrics;
mod panic_log;
mod process_usage;
mod span;

pub use gateway_metrics::GatewayMetrics;
pub use line_budget::LineBudget;
pub use log_queue::{DEFAULT_LOG_LINES_PER_SECOND, LogQueue};
pub use log_text::{LogMessage, LogValue, MAX_MESSAGE_BYTES};
pub use logger::{PROCESS_LOG, ProcessLog, init_log, log_event};
pub use metrics::EntryMetrics;
pub use panic_log::log_panics;
pub use process_usage::{ProcessLimits, ProcessUsage, UsageReporter};
pub use span::{Span, SpanSink, TraceContext};
