//! Replays recorded steps of a simulated cluster and compares the entries' states after each pause
//! with a snapshot.

#[path = "catalog_cluster/cluster.rs"]
mod catalog_cluster;

use std::fmt::Write;

use catalog_cluster::{Cluster, Step};

fn replay(trace: &str) -> String {
    let mut cluster = Cluster::new(3);
    let mut out = String::new();
    for line in trace.lines() {
        let step: Step = serde_json::from_str(line).unwrap();
        cluster.apply(&step);
        if matches!(step, Step::Pass(_)) {
            let outcome = cluster.outcome().join(", ");
            let _ = writeln!(out, "{outcome}");
        } else {
            let _ = writeln!(out, "- {line}");
        }
    }
    out
}

macro_rules! traces {
    ($($name:ident $file:literal,)*) => {$(
        #[test]
        fn $name() {
            insta::assert_snapshot!(replay(include_str!(concat!("traces/catalog-", $file, ".jsonl"))));
        }
    )*};
}

traces! {
    trace_domain_cut_off_and_healed "domain-cut-off",
    trace_platform_cut_from_one_domain "platform-cut",
    trace_watchers_cut_from_the_platform "watchers-cut",
    trace_entry_started_in_outage "outage-start",
    trace_watches_gone_silent "silent-watches",
    trace_old_event_after_newer_one "old-event",
    trace_operators_race "race",
    trace_gap_longer_than_the_tail "long-gap",
}
