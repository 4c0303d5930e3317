//! Log lines of panics.

use std::io::{self, Write};
use std::panic::PanicHookInfo;
use std::time::Instant;

use log::LevelFilter;

use crate::telemetry::{DEFAULT_LOG_LINES_PER_SECOND, LineBudget, PROCESS_LOG};

/// Maximum number of flushes of the log in a second, each of which blocks the thread that panics.
const MAX_FLUSHES_PER_SECOND: u32 = 4;

/// Logs each panic as one event, up to a rate; the next line tells how many were left out.
///
/// The standard library's hook is not called: it prints a backtrace, and reading the debug
/// information for it may need more memory than a small VM has left.
pub fn log_panics() {
    let budget = LineBudget::half_of(DEFAULT_LOG_LINES_PER_SECOND);
    let flushes = LineBudget::half_of(2 * MAX_FLUSHES_PER_SECOND);
    let started = Instant::now();
    std::panic::set_hook(Box::new(move |info| {
        let now = started.elapsed();
        let Some(left_out) = budget.permit(now) else {
            return;
        };
        log_panic(info, left_out);
        // The process may abort next, if it panics while this panic unwinds.
        if flushes.permit(now).is_some() {
            log::logger().flush();
        }
    }));
}

fn log_panic(info: &PanicHookInfo<'_>, left_out: u64) {
    let thread = std::thread::current();
    let location = info.location();
    let message = info.payload_as_str().unwrap_or("-");
    let line = format!(
        "event=panicked thread={} location={} message={message:?} left_out={left_out}",
        thread.name().unwrap_or("-"),
        location.map_or_else(|| "-".to_owned(), ToString::to_string),
    );
    if log::max_level() == LevelFilter::Off {
        // There is no log yet.
        let _ = writeln!(io::stdout(), "level=error vm=- {line}");
    } else {
        log::error!(target: PROCESS_LOG, "{line}");
    }
}
