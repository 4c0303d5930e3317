//! `guavahold-store`: keeps cache blocks on a store VM.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use async_executor::Executor;
use async_signal::{Signal, Signals};
use eyre::WrapErr;
use futures_lite::{StreamExt, future};
use guavahold::cache::Secret;
use guavahold::settings::{Document, STORE_EXAMPLE, StoreSettings};
use guavahold::store::Store;
use guavahold::telemetry;

/// Exit status when the settings have findings.
const EXIT_FINDINGS: u8 = 2;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Keeps cache blocks on a store VM.
        cmd guavahold-store {
            /// File of settings in JSON with comments.
            optional --settings file: PathBuf
            /// Checks the settings and exits.
            optional --check
            /// Prints commented settings to start from.
            optional --print-defaults
        }
    }
}

fn main() -> eyre::Result<ExitCode> {
    let args = flags::GuavaholdStore::from_env_or_exit();
    if args.print_defaults {
        print!("{STORE_EXAMPLE}");
        return Ok(ExitCode::SUCCESS);
    }
    let Some(path) = args.settings else {
        eprintln!("--settings FILE is required");
        return Ok(ExitCode::from(EXIT_FINDINGS));
    };
    let cfg = match read_settings(&path)? {
        Ok(cfg) => cfg,
        Err(findings) => {
            eprintln!("{findings}");
            return Ok(ExitCode::from(EXIT_FINDINGS));
        }
    };
    if args.check {
        return Ok(ExitCode::SUCCESS);
    }
    telemetry::init_log(cfg.log_level)?;
    serve(&cfg)?;
    Ok(ExitCode::SUCCESS)
}

fn read_settings(path: &Path) -> eyre::Result<Result<StoreSettings, impl std::fmt::Display>> {
    let name = path.to_string_lossy();
    let doc = Document::open(&name).wrap_err_with(|| format!("cannot read {name}"))?;
    Ok(StoreSettings::read(&doc))
}

fn serve(cfg: &StoreSettings) -> eyre::Result<()> {
    let secret = Secret::open(&cfg.secret_file)
        .wrap_err_with(|| format!("cannot read the secret {}", cfg.secret_file))?;
    let store = Store::bind(cfg, secret).wrap_err("cannot start the store")?;
    let control = store.control();
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    println!(
        "ready blocks={} admin={}",
        store.blocks_address(),
        store.admin_address()
    );
    let ex = Arc::new(Executor::new());
    let ended = async_channel::bounded::<()>(1);
    for n in 0..cfg.traffic_threads {
        let (ex, ended) = (ex.clone(), ended.1.clone());
        let thread = std::thread::Builder::new().name(format!("traffic-{n}"));
        thread.spawn(move || future::block_on(ex.run(ended.recv())))?;
    }
    let running = ex.spawn(store.run(ex.clone()));
    future::block_on(async {
        signals.next().await;
        telemetry::event(log::Level::Info, "shutdown_started", &[]);
        control.shut_down().await;
        running.await;
        telemetry::event(log::Level::Info, "shutdown_finished", &[]);
    });
    Ok(())
}
