//! `guavahold`: the operators' command line tool for release notes.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use async_io::block_on;
use guavahold::catalog::CatalogStore;
use guavahold::clock::unix_ms;
use guavahold::operator::{
    Applier, ApplyReport, EntryAdminClient, Exit, NoteMetadata, OperatorError, Paint, Report,
    check, explain, history, key, plan, revert, status,
};
use guavahold::platform::{Platform, RemotePlatform};
use guavahold::prelude::Name;
use guavahold::settings::Document;

/// Timeout of one request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time spent on finding out whether a write whose response was lost took effect.
const APPLY_RESOLVE_TIMEOUT: Duration = Duration::from_secs(15);
/// Default of `apply --timeout`, in seconds.
const DEFAULT_WAIT_S: u64 = 15;
/// Default of `history --count`.
const DEFAULT_HISTORY_COUNT: u64 = 20;

mod flags {
    #![allow(missing_docs)]
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Checks, plans, applies and reports release notes.
        ///
        /// Exit statuses: 0 success, 1 failure, 2 findings, 3 another note was accepted first, 4
        /// not in force at every entry in time, 5 platform unreachable, 6 unknown whether accepted.
        cmd guavahold {
            /// Address of the platform's object API; may be repeated.
            repeated --platform addr: SocketAddr
            /// Admin address of an entry; may be repeated.
            repeated --entry addr: SocketAddr
            /// Prints the report as JSON.
            optional --json

            /// Checks release notes offline.
            cmd check {
                /// Files of release notes.
                repeated note: String
            }
            /// Shows what a note would change.
            cmd plan {
                /// File of the release note.
                required note: String
            }
            /// Applies a note.
            cmd apply {
                /// File of the release note.
                required note: String
                /// Waits until every entry reports the note in force; needs --entry.
                optional --wait
                /// Longest wait, in seconds (default: 15).
                optional --timeout seconds: u64
            }
            /// Shows the accepted revision and the revision in force at each entry.
            cmd status {}
            /// Lists accepted notes.
            cmd history {
                /// Number of notes (default: 20).
                optional --count count: u64
            }
            /// Prints a note that undoes the note of a revision.
            cmd revert {
                /// Revision whose note is to be undone.
                required revision: u64
                /// Name of the operator or shift that writes the note.
                optional --by name: String
            }
            /// Explains what happened to a request, from entries' logs on standard input.
            cmd explain {
                /// Id of the request.
                required request: String
            }
            /// Generates a customer's token; only its hash goes into a note.
            cmd key {
                /// Name of the customer.
                required customer: String
            }
        }
    }
}

use flags::GuavaholdCmd as Command;

fn main() -> ExitCode {
    let flags = flags::Guavahold::from_env_or_exit();
    let result = run(&flags);
    let (text, exit) = match result {
        Ok(report) if flags.json => (format!("{:#}\n", report.json()), report.exit()),
        Ok(report) => (report.text(Paint::detect()), report.exit()),
        Err(err) => {
            eprintln!("guavahold: {err}");
            return err.exit().into();
        }
    };
    let written = std::io::stdout().write_all(text.as_bytes());
    if written.is_err() && exit == Exit::Ok {
        return Exit::Failure.into();
    }
    exit.into()
}

fn run(flags: &flags::Guavahold) -> Result<Box<dyn Report>, OperatorError> {
    let entries = EntryAdminClient::new(flags.entry.clone());
    match &flags.subcommand {
        Command::Check(args) => {
            if args.note.is_empty() {
                return Err(OperatorError::Other("name a release note".into()));
            }
            let docs: Result<Vec<_>, _> = args.note.iter().map(|file| open(file)).collect();
            Ok(Box::new(check(&docs?)))
        }
        Command::Explain(args) => {
            let logs = std::io::read_to_string(std::io::stdin());
            let logs = logs.map_err(|err| OperatorError::Other(err.to_string()))?;
            Ok(Box::new(explain(&args.request, &logs)))
        }
        Command::Key(args) => Ok(Box::new(key(&args.customer))),
        Command::Plan(args) => {
            let (file, doc) = open(&args.note)?;
            let store = CatalogStore::new(platform(&flags.platform)?);
            Ok(match block_on(plan(&store, &file, &doc))? {
                Ok(report) => Box::new(report),
                Err(report) => Box::new(report),
            })
        }
        Command::Apply(args) => {
            let (file, doc) = open(&args.note)?;
            let applier = Applier::new(platform(&flags.platform)?, APPLY_RESOLVE_TIMEOUT);
            if args.wait && entries.is_empty() {
                let detail = "--wait needs an entry to ask; name one with --entry IP:PORT";
                return Err(OperatorError::Other(detail.into()));
            }
            let timeout = Duration::from_secs(args.timeout.unwrap_or(DEFAULT_WAIT_S));
            let wait = args.wait.then_some(timeout);
            Ok(Box::new(block_on(apply(
                &applier, &file, &doc, &entries, wait,
            ))?))
        }
        Command::Status(_) => {
            let report = block_on(status(&platform(&flags.platform)?, &entries))?;
            Ok(Box::new(report))
        }
        Command::History(args) => {
            let store = CatalogStore::new(platform(&flags.platform)?);
            let count = args.count.unwrap_or(DEFAULT_HISTORY_COUNT);
            Ok(Box::new(block_on(history(&store, count))?))
        }
        Command::Revert(args) => {
            let store = CatalogStore::new(platform(&flags.platform)?);
            let by = Name::from(args.by.as_deref().unwrap_or("-"));
            Ok(Box::new(block_on(revert(&store, args.revision, by))?))
        }
    }
}

async fn apply(
    applier: &Applier,
    file: &str,
    doc: &Document,
    entries: &EntryAdminClient,
    wait: Option<Duration>,
) -> Result<ApplyReport, OperatorError> {
    let metadata = NoteMetadata {
        id: uuid::Uuid::now_v7().to_string().into(),
        at_ms: unix_ms(),
    };
    let report = applier.apply(file, doc, &metadata).await?;
    match (wait, &report) {
        (Some(timeout), ApplyReport::Accepted { revision, .. }) => {
            let (rows, in_force) = applier
                .wait_until_in_force(*revision, entries, timeout)
                .await;
            Ok(report.with_entries(rows, in_force))
        }
        _ => Ok(report),
    }
}

fn open(file: &str) -> Result<(Name, Document), OperatorError> {
    let doc = Document::open(file);
    let doc = doc.map_err(|err| OperatorError::Other(format!("cannot read {file}: {err}")))?;
    Ok((file.into(), doc))
}

fn platform(addresses: &[SocketAddr]) -> Result<Arc<dyn Platform>, OperatorError> {
    if addresses.is_empty() {
        let detail = "name the platform with --platform IP:PORT";
        return Err(OperatorError::Other(detail.into()));
    }
    let remote = RemotePlatform::new(addresses.to_vec(), PLATFORM_TIMEOUT);
    Ok(Arc::new(remote))
}
