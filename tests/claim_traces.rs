//! Replays recorded traces of claims and compares the result of each step with a snapshot.

#[path = "support/all.rs"]
mod support;

use std::fmt::Write;
use std::path::Path;

use support::claims::{ClaimSimulation, Step};

/// Replays a trace; each line of the output is a step and its result.
fn replay(name: &str) -> String {
    let path = format!("{}/tests/traces/{name}.jsonl", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(Path::new(&path)).unwrap();
    let mut simulation = ClaimSimulation::new();
    let mut out = String::new();
    for line in text.lines() {
        let step: Step = serde_json::from_str(line).unwrap();
        let result = simulation.apply(step);
        writeln!(out, "{line}  =>  {}", result.as_deref().unwrap_or("-")).unwrap();
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
    trace_repeat_at_another_entry_gets_the_outcome: "claim-repeat",
    trace_write_without_answer_is_read_back: "claim-answer-lost",
    trace_paused_owner_loses_the_write_conflict: "claim-owner-paused",
    trace_claimant_killed_after_dispatch_settles_as_unknown: "claim-claimant-killed",
    trace_unreachable_claimant_cannot_dispatch_after_return: "claim-claimant-silent",
    trace_key_of_a_deleted_object_is_out_of_window: "claim-collected",
    trace_object_created_after_collection_grants_nothing: "claim-late-create",
    trace_recreated_object_accepts_no_first_claims: "claim-made-anew",
    trace_released_key_can_be_claimed_again: "claim-released",
}
