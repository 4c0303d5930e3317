//! Log lines of a process that a second panic aborts.

use std::process::{Command, Stdio};

use guavahold::telemetry::{ProcessLog, log_panics};
use log::LevelFilter;

/// Environment variable that tells a child process to abort.
const CHILD_VAR: &str = "ABORT_LOG_CHILD";
const TEST_NAME: &str = "panic_that_aborts_leaves_its_line";
/// Processes that are aborted: whether the writer is in time differs.
const RUNS: usize = 30;

struct PanicOnDrop;

impl Drop for PanicOnDrop {
    fn drop(&mut self) {
        panic!("second panic");
    }
}

/// Panics, and again while that panic unwinds, which aborts the process.
fn abort_by_panic() {
    let _log = ProcessLog::start(LevelFilter::Info, 800).unwrap();
    log_panics();
    let _guard = PanicOnDrop;
    panic!("first panic");
}

/// Guards against an abort that outruns the log's writer, so that nothing tells why it ended.
#[test]
fn panic_that_aborts_leaves_its_line() {
    if std::env::var_os(CHILD_VAR).is_some() {
        abort_by_panic();
    }
    for _ in 0..RUNS {
        let child = Command::new(std::env::current_exe().unwrap())
            .args(["--exact", TEST_NAME, "--nocapture"])
            .env(CHILD_VAR, "1")
            .stdin(Stdio::null())
            .output()
            .unwrap();
        let log = String::from_utf8(child.stdout).unwrap();
        assert!(!child.status.success());
        assert!(log.contains("message=\"first panic\""), "{log}");
        assert!(log.contains("message=\"second panic\""), "{log}");
    }
}
