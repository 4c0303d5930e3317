//! Replays recorded traces of claims and pins what the callers were told.

#[path = "support/all.rs"]
mod support;

use std::fmt::Write;
use std::path::Path;

use support::claims::{Step, World};

/// Replays a trace; each line of the result is a step and what came of it.
fn replay(name: &str) -> String {
    let path = format!("{}/tests/traces/{name}.jsonl", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(Path::new(&path)).unwrap();
    let mut world = World::new();
    let mut out = String::new();
    for line in text.lines() {
        let step: Step = serde_json::from_str(line).unwrap();
        let told = world.apply(step);
        writeln!(out, "{line}  =>  {}", told.as_deref().unwrap_or("-")).unwrap();
    }
    out
}

macro_rules! traces {
    ($($test:ident: $trace:literal,)*) => {
        $(#[test]
        fn $test() {
            insta::assert_snapshot!(replay($trace));
        })*
    };
}

traces! {
    trace_repeat_at_another_entry: "claim-repeat",
    trace_answer_lost_is_read_back: "claim-answer-lost",
    trace_owner_paused_and_replaced: "claim-owner-paused",
    trace_claimant_killed_after_dispatch: "claim-claimant-killed",
    trace_claimant_silent_then_back: "claim-claimant-silent",
    trace_collected_key_stays_closed: "claim-collected",
    trace_create_after_collection: "claim-late-create",
    trace_window_made_anew_stays_closed: "claim-made-anew",
    trace_released_key_is_free: "claim-released",
}
