//! Loggers that write each event as one line of `key=value` fields.

use std::borrow::Cow;
use std::fmt::{Display, Write as _};
use std::io::Write as _;
use std::sync::OnceLock;

use log::{Level, LevelFilter, Log, Metadata, Record};

use crate::prelude::*;
use crate::telemetry::{LogMessage, LogQueue, LogValue};

/// Sends log lines of at least `level` to standard error.
///
/// # Errors
/// When a logger is already set.
pub fn init_log(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .format(|out, message, record| {
            let now = std::time::SystemTime::now();
            let since_epoch = now
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            let level = record.level().as_str().to_ascii_lowercase();
            let ts_ms = since_epoch.as_millis();
            let message = LogMessage(message);
            out.finish(format_args!("ts_ms={ts_ms} level={level} {message}"));
        })
        .level(level)
        // A closed or full output is no reason to panic.
        .chain(fern::Output::call(|record| {
            let _ = writeln!(std::io::stderr(), "{}", record.args());
        }))
        .apply()
}

/// Target of log lines on the life of the process, which the rate of lines does not limit.
pub const PROCESS_LOG: &str = "process";
/// Name of the VM in log lines until it is known.
const UNKNOWN_VM: &str = "-";

/// Longest time for which a flush of the logger blocks its caller.
const LOGGER_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Log on standard output that a writer thread writes.
#[derive(Clone, Debug)]
pub struct ProcessLog {
    queue: Arc<LogQueue>,
    vm: Arc<OnceLock<Name>>,
}

impl ProcessLog {
    /// Sends log lines of at least `level` to standard output through a [`LogQueue`], at most
    /// `lines_per_second`.
    ///
    /// # Errors
    /// When a logger is already set or the writer thread cannot be started.
    pub fn start(level: LevelFilter, lines_per_second: u32) -> std::io::Result<Self> {
        let log = Self {
            queue: Arc::new(LogQueue::start(std::io::stdout(), lines_per_second)?),
            vm: Arc::default(),
        };
        let (queue, vm) = (log.queue.clone(), log.vm.clone());
        let (level, logger) = fern::Dispatch::new()
            .format(move |out, message, record| {
                let ts_ms = crate::clock::unix_ms();
                let level = record.level().as_str().to_ascii_lowercase();
                let vm = LogValue(vm.get().map_or(UNKNOWN_VM, |name| &**name));
                let message = LogMessage(message);
                out.finish(format_args!(
                    "ts_ms={ts_ms} level={level} vm={vm} {message}"
                ));
            })
            .level(level)
            .chain(fern::Output::call(move |record| {
                let line = format!("{}\n", record.args());
                if record.target() == PROCESS_LOG {
                    queue.push_unlimited(line);
                } else {
                    queue.push(line);
                }
            }))
            .into_log();
        let logger = QueueLogger {
            logger,
            queue: log.queue.clone(),
        };
        log::set_boxed_logger(Box::new(logger)).map_err(std::io::Error::other)?;
        log::set_max_level(level);
        Ok(log)
    }

    /// Sets the name of the VM, which each line carries from then on.
    pub fn set_vm(&self, name: impl Into<Name>) {
        let _ = self.vm.set(name.into());
    }

    /// Waits until all lines are written, for `timeout` at most; `false` if they are not.
    #[must_use]
    pub fn flush(&self, timeout: Duration) -> bool {
        self.queue.flush(timeout)
    }
}

/// Logger whose flush waits for the writer of its queue.
struct QueueLogger {
    logger: Box<dyn Log>,
    queue: Arc<LogQueue>,
}

impl Log for QueueLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        self.logger.log(record);
    }

    fn flush(&self) {
        let _ = self.queue.flush(LOGGER_FLUSH_TIMEOUT);
    }
}

/// Logs one event with its fields; values are quoted and escaped if necessary.
pub fn log_event(level: Level, name: &str, fields: &[(&str, &dyn Display)]) {
    if level > log::max_level() {
        return;
    }
    let mut line = format!("event={name}");
    for (key, value) in fields {
        let value = value.to_string();
        let _ = write!(line, " {key}={}", quoted(&value));
    }
    log::log!(level, "{line}");
}

/// Quotes a value unless it is plain; line breaks are escaped, so that an event stays on one line.
pub(super) fn quoted(value: &str) -> Cow<'_, str> {
    let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
    if !value.is_empty() && value.chars().all(plain) {
        return Cow::Borrowed(value);
    }
    Cow::Owned(format!("{value:?}"))
}
