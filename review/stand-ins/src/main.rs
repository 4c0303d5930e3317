//! Runs one case of the review: starts stand-ins and the project's own program as separate
//! processes, plays the case, and says by the exit status whether a rule was broken.

mod case_crash;
mod case_free;
mod case_late_crash;
mod case_memory;
mod case_wall;
mod entry;
mod http;
mod json;
mod kv;
mod proxy;
mod record;
mod runner;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    /// It could not run.
    Failed(String),
}

/// Arguments of all cases.
pub struct Args {
    /// Folder for settings and logs of the processes.
    pub dir: PathBuf,
    /// Folder of the case, where its record goes.
    pub case: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(case), Some(dir)) = (args.next(), args.next(), args.next()) else {
        eprintln!("usage: review-run CASE CASE-FOLDER TEMPORARY-FOLDER");
        return ExitCode::from(2);
    };
    let args = Args {
        dir: dir.into(),
        case: case.into(),
        trouble: std::env::var("TROUBLE").is_ok_and(|value| value != "0"),
    };
    let verdict = match name.as_str() {
        "wall" => case_wall::run(&args),
        "free" => case_free::run(&args),
        "late-crash" => case_late_crash::run(&args),
        "memory" => case_memory::run(&args),
        "crash" => case_crash::run(&args),
        _ => Verdict::Failed(format!("no case {name}")),
    };
    match verdict {
        Verdict::Held => {
            println!("held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            println!("broken");
            ExitCode::from(1)
        }
        Verdict::Failed(reason) => {
            println!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
