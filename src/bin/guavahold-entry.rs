//! `guavahold-entry`: the entry process, which serves callers on an entry VM.

use std::io::{self, Write};
use std::pin::pin;
use std::process::ExitCode;

use eyre::WrapErr;
use futures_lite::{FutureExt, StreamExt};
use guavahold::descriptors::{MIN_DESCRIPTORS, raise_descriptor_limit};
use guavahold::entry::Entry;
use guavahold::settings::{Document, ENTRY_EXAMPLE, EntrySettings};
use guavahold::signals::ProcessSignals;
use guavahold::supervisor::TaskFailed;
use guavahold::telemetry::{init_log, log_panics};

/// Exit status if the settings have findings.
const EXIT_FINDINGS: u8 = 2;

mod flags {
    #![allow(missing_docs)]
    xflags::xflags! {
        /// Serves callers on an entry VM.
        cmd guavahold-entry {
            /// Settings file, in JSON with comments.
            optional --settings path: String
            /// Checks the settings and exits.
            optional --check
            /// Prints an example settings file with comments.
            optional --print-defaults
        }
    }
}

fn main() -> ExitCode {
    log_panics();
    // Without a handler, a reload signal during the start ends the process. Handlers need descriptors.
    let signals = raise_descriptor_limit(MIN_DESCRIPTORS).and_then(|_| ProcessSignals::install());
    let flags = flags::GuavaholdEntry::from_env_or_exit();
    if flags.print_defaults {
        print!("{ENTRY_EXAMPLE}");
        return ExitCode::SUCCESS;
    }
    match run(&flags, signals) {
        Ok(code) => code,
        Err(err) => {
            let reason = format!("{err:#}");
            let _ = writeln!(
                io::stderr(),
                "level=error event=start_failed error={reason:?}"
            );
            ExitCode::FAILURE
        }
    }
}

fn run(
    flags: &flags::GuavaholdEntry,
    signals: io::Result<ProcessSignals>,
) -> eyre::Result<ExitCode> {
    let path = flags.settings.as_deref();
    let path = path.ok_or_else(|| eyre::eyre!("--settings is required"))?;
    let doc = Document::open(path).wrap_err_with(|| format!("cannot read {path}"))?;
    let cfg = match EntrySettings::read(&doc) {
        Ok(cfg) => cfg,
        Err(findings) => {
            eprintln!("{findings}");
            return Ok(ExitCode::from(EXIT_FINDINGS));
        }
    };
    if flags.check {
        return Ok(ExitCode::SUCCESS);
    }
    init_log(cfg.log_level)?;
    serve(cfg, signals?)
}

/// Serves until a signal ends the process.
fn serve(cfg: EntrySettings, mut signals: ProcessSignals) -> eyre::Result<ExitCode> {
    let bound = async_io::block_on(signals.unless_stopped(Entry::bind(cfg)));
    let Some(entry) = bound else {
        return Ok(ExitCode::SUCCESS);
    };
    let entry = entry?;
    let addresses = entry.addresses();
    let running = entry.start()?;
    let _ = writeln!(
        io::stdout(),
        "ready callers={} peers={} admin={}",
        addresses.callers,
        addresses.peers,
        addresses.admin
    );
    let failed = async_io::block_on(async {
        let mut stop_requests = pin!(signals.stop_requests());
        let stopped = async {
            stop_requests.next().await;
            None
        };
        let failed = async { Some(running.task_failed().await) };
        let failed = stopped.or(failed).await;
        if let Some(TaskFailed { task }) = failed {
            log::error!("event=task_failed task={task}");
        }
        let further = async {
            while stop_requests.next().await.is_some() {}
            std::future::pending::<()>().await;
        };
        running.drain().or(further).await;
        failed
    });
    running.stop();
    failed.map_or(Ok(ExitCode::SUCCESS), |failed| Err(failed.into()))
}
