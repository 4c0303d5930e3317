//! Log lines of panics.

use std::panic::PanicHookInfo;
use std::time::Instant;

use crate::telemetry::{DEFAULT_LOG_LINES_PER_SECOND, LineBudget, PROCESS_LOG};

/// Logs each panic as one event, then calls the hook that was set before.
///
/// Panics in a series are logged up to a rate; the next line tells how many were left out.
pub fn log_panics() {
    let budget = LineBudget::half_of(DEFAULT_LOG_LINES_PER_SECOND);
    let started = Instant::now();
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        if let Some(left_out) = budget.permit(started.elapsed()) {
            log_panic(info, left_out);
        }
        previous(info);
    }));
}

fn log_panic(info: &PanicHookInfo<'_>, left_out: u64) {
    let thread = std::thread::current();
    let location = info.location();
    let message = info.payload_as_str().unwrap_or("-");
    log::error!(
        target: PROCESS_LOG,
        "event=panicked thread={} location={} message={message:?} left_out={left_out}",
        thread.name().unwrap_or("-"),
        location.map_or_else(|| "-".to_owned(), ToString::to_string),
    );
}
