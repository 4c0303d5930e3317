//! `guavahold`: the operators' commands on release notes.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use async_io::block_on;
use guavahold::catalog::CatalogStore;
use guavahold::clock::unix_ms;
use guavahold::operator::{
    Applier, ApplyReport, Entries, Exit, OperatorError, Paint, Report, Stamped, check, explain,
    history, key, plan, revert, status,
};
use guavahold::platform::{Platform, RemotePlatform};
use guavahold::prelude::Name;
use guavahold::settings::Document;

/// Longest time one platform call may take.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a lost answer is resolved.
const PATIENCE: Duration = Duration::from_secs(15);
/// Default of `--timeout`, in seconds.
const WAIT_S: u64 = 15;
/// Default of `history --count`.
const HISTORY: u64 = 20;

mod flags {
    #![allow(missing_docs)]
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Checks, plans, applies and reports release notes.
        ///
        /// Exit statuses: 0 done, 1 failed, 2 findings, 3 another note was first, 4 not in force
        /// everywhere in time, 5 platform not reached, 6 unknown whether accepted.
        cmd guavahold {
            /// Address of the platform's object API; repeated for more.
            repeated --platform addr: SocketAddr
            /// Admin address of an entry; repeated for more.
            repeated --entry addr: SocketAddr
            /// Prints JSON.
            optional --json

            /// Checks notes without a network.
            cmd check {
                /// Release notes.
                repeated note: String
            }
            /// Shows what a note would change.
            cmd plan {
                /// Release note.
                required note: String
            }
            /// Puts a note in force.
            cmd apply {
                /// Release note.
                required note: String
                /// Waits until every entry reports the note in force; needs --entry.
                optional --wait
                /// Longest wait, in seconds; 15 when not given.
                optional --timeout seconds: u64
            }
            /// Shows what is in force, since when, by whom and where.
            cmd status {}
            /// Lists accepted notes.
            cmd history {
                /// Number of notes; 20 when not given.
                optional --count count: u64
            }
            /// Prints the note that undoes the note of a revision.
            cmd revert {
                /// Revision whose note is undone.
                required revision: u64
                /// Operator or shift that writes the note.
                optional --by name: String
            }
            /// Tells what happened to a request, by entries' logs on standard input.
            cmd explain {
                /// Identity of the request.
                required request: String
            }
            /// Makes a customer's token; only its hash goes into a note.
            cmd key {
                /// Customer.
                required customer: String
            }
        }
    }
}

use flags::GuavaholdCmd as Command;

fn main() -> ExitCode {
    let flags = flags::Guavahold::from_env_or_exit();
    let done = run(&flags);
    let (text, exit) = match done {
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
    let entries = Entries::new(flags.entry.clone());
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
            let applier = Applier::new(platform(&flags.platform)?, PATIENCE);
            if args.wait && entries.is_empty() {
                let detail = "--wait needs an entry to ask; name one with --entry IP:PORT";
                return Err(OperatorError::Other(detail.into()));
            }
            let limit = Duration::from_secs(args.timeout.unwrap_or(WAIT_S));
            let wait = args.wait.then_some(limit);
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
            let count = args.count.unwrap_or(HISTORY);
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
    entries: &Entries,
    wait: Option<Duration>,
) -> Result<ApplyReport, OperatorError> {
    let stamped = Stamped {
        id: uuid::Uuid::now_v7().to_string().into(),
        at_ms: unix_ms(),
    };
    let report = applier.apply(file, doc, &stamped).await?;
    match (wait, &report) {
        (Some(limit), ApplyReport::Accepted { revision, .. }) => {
            let (rows, done) = applier.wait(*revision, entries, limit).await;
            Ok(report.waited(rows, done))
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
