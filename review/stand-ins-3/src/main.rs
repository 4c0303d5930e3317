//! Plays one case of the review with stand-ins on loopback addresses and the real clock.
//!
//! `review-case-3 CASE FOLDER` writes `FOLDER/record.txt` and exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run. With `TROUBLE=0`, the disruption is left out.

mod case_crashes;
mod case_models;
mod case_second_model;
mod case_wall;
mod http;
mod json;
mod kv_store;
mod node;
mod record;
mod runner;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use record::Record;

/// Time limit of a case.
const LIMIT: Duration = Duration::from_secs(112);

/// Clock of the runners and stores, in milliseconds.
pub fn clock_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    let start = START.get_or_init(Instant::now);
    1_000_000 + start.elapsed().as_millis() as u64
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |t| t.as_millis() as u64)
}

/// What a case came to.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

pub struct Setup {
    pub trouble: bool,
    /// Temporary folder for settings and logs.
    pub dir: PathBuf,
    pub record: Record,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: review-case-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    clock_ms();
    let dir = std::env::temp_dir().join(format!("review-case-3-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("no temporary folder");
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let setup = Setup {
        trouble,
        dir: dir.clone(),
        record: Record::create(&Path::new(folder).join("record.txt")),
    };
    setup
        .record
        .line(&format!("case {case}, trouble {trouble}"));
    end_in_time(setup.record.clone());
    let verdict = match case.as_str() {
        "models" => case_models::play(&setup),
        "second-model" => case_second_model::play(&setup),
        "wall" => case_wall::play(&setup),
        "crashes" => case_crashes::play(&setup),
        _ => Verdict::NotRun,
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    let (code, text) = match verdict {
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::Held => (0, "the rule held"),
        Verdict::NotRun => (2, "the case could not run"),
    };
    setup.record.line(&format!("exit {code}: {text}"));
    println!("{case}: exit {code}: {text}");
    ExitCode::from(code)
}

/// Ends all processes and this one when the case takes too long.
fn end_in_time(record: Record) {
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        record.line("exit 2: out of time");
        for id in node::RUNNING.lock().unwrap().iter() {
            let _ = std::process::Command::new("kill")
                .args(["-9", &id.to_string()])
                .status();
        }
        std::process::exit(2);
    });
}
