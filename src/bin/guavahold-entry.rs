//! `guavahold-entry`: the entry process, which serves callers on an entry VM.

use std::process::ExitCode;

use async_signal::{Signal, Signals};
use eyre::WrapErr;
use futures_lite::{FutureExt, StreamExt};
use guavahold::entry::Entry;
use guavahold::settings::{Document, ENTRY_EXAMPLE, EntrySettings};
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
    let flags = flags::GuavaholdEntry::from_env_or_exit();
    if flags.print_defaults {
        print!("{ENTRY_EXAMPLE}");
        return ExitCode::SUCCESS;
    }
    match run(&flags) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("guavahold-entry: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: &flags::GuavaholdEntry) -> eyre::Result<ExitCode> {
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
    log_panics();
    let entry = Entry::bind(cfg)?;
    let addresses = entry.addresses();
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let running = entry.start()?;
    println!(
        "ready callers={} peers={} admin={}",
        addresses.callers, addresses.peers, addresses.admin
    );
    let failed = async_io::block_on(async {
        let stopped = async {
            signals.next().await;
            None
        };
        let failed = async { Some(running.task_failed().await) };
        let failed = stopped.or(failed).await;
        if let Some(TaskFailed { task }) = failed {
            log::error!("event=task_failed task={task}");
        }
        running.drain().await;
        failed
    });
    running.stop();
    failed.map_or(Ok(ExitCode::SUCCESS), |failed| Err(failed.into()))
}
