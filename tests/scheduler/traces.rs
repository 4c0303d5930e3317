//! Replays recorded traces (`tests/traces/decide-*.jsonl`) and compares the effects with snapshots.

use std::fmt::Write;
use std::path::Path;

use guavahold::scheduler::{Effect, Event, Scheduler, SchedulerSettings};
use serde::Deserialize;

use crate::simulation::ms;

#[derive(Deserialize)]
struct Line {
    at_ms: u64,
    event: Event,
}

fn replay(path: &Path) -> String {
    let mut cfg = SchedulerSettings::new("a".into());
    cfg.seed = 1;
    let mut scheduler = Scheduler::new(cfg);
    let mut out = String::new();
    for line in std::fs::read_to_string(path).unwrap().lines() {
        let line: Line = serde_json::from_str(line).unwrap();
        // Timers that are due before the event run first.
        while let Some(due) = scheduler.next_wakeup().filter(|due| *due < ms(line.at_ms)) {
            let mut effects = Vec::new();
            scheduler.on(due, Event::Tick, &mut effects);
            print(&mut out, due.as_millis(), &effects);
        }
        let mut effects = Vec::new();
        scheduler.on(ms(line.at_ms), line.event, &mut effects);
        print(&mut out, line.at_ms.into(), &effects);
    }
    assert_eq!(scheduler.broken_invariants(), 0);
    out
}

fn print(out: &mut String, at_ms: u128, effects: &[Effect]) {
    for effect in effects {
        let what = match effect {
            Effect::Dispatch {
                id,
                attempt,
                target,
                ..
            } => format!("dispatch {} attempt {attempt} to {target}", id.0),
            Effect::Refuse { id, refusal } => {
                format!("refuse {} {} {}", id.0, refusal.code(), refusal.run())
            }
            Effect::Cancel { id, attempt } => format!("cancel {} attempt {attempt}", id.0),
            Effect::Quarantine(suspect) => {
                let victims = suspect.victims.iter().chain(&suspect.answering_victims);
                let victims: Vec<&str> = victims.map(|name| &**name).collect();
                format!(
                    "quarantine {}s for {}",
                    suspect.ttl.as_secs(),
                    victims.join(", ")
                )
            }
            Effect::Probe { target, .. } => format!("probe {target}"),
        };
        writeln!(out, "{at_ms:>7} {what}").unwrap();
    }
}

#[test]
fn replay_recorded_traces() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let files = std::fs::read_dir(folder)
        .unwrap()
        .map(|f| f.unwrap().path());
    let mut traces = 0;
    for path in files {
        let stem = path.file_stem().unwrap().to_str().unwrap().to_owned();
        if !stem.starts_with("decide-") {
            continue;
        }
        traces += 1;
        insta::with_settings!({snapshot_suffix => stem}, {
            insta::assert_snapshot!(replay(&path));
        });
    }
    assert!(traces > 0);
}
