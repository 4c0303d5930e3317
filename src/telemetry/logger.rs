//! Loggers that write each event as one line of `key=value` fields.

use std::borrow::Cow;
use std::fmt::{Display, Write};

use log::{Level, LevelFilter};

use crate::telemetry::LogQueue;

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
            out.finish(format_args!("ts_ms={ts_ms} level={level} {message}"));
        })
        .level(level)
        .chain(std::io::stderr())
        .apply()
}

/// Sends log lines of at least `level` to standard output through a [`LogQueue`], at most
/// `lines_per_second`; each line carries the name `vm`.
///
/// # Errors
/// When a logger is already set or the writer thread cannot be started.
pub fn init_queued_log(level: LevelFilter, vm: &str, lines_per_second: u32) -> std::io::Result<()> {
    let queue = LogQueue::start(std::io::stdout(), lines_per_second)?;
    let vm = vm.to_owned();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let ts_ms = crate::clock::unix_ms();
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!(
                "ts_ms={ts_ms} level={level} vm={vm} {message}"
            ));
        })
        .level(level)
        .chain(fern::Output::call(move |record| {
            queue.push(format!("{}\n", record.args()));
        }))
        .apply()
        .map_err(std::io::Error::other)
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
fn quoted(value: &str) -> Cow<'_, str> {
    let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
    if !value.is_empty() && value.chars().all(plain) {
        return Cow::Borrowed(value);
    }
    Cow::Owned(format!("{value:?}"))
}
