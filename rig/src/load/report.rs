//! Text report of a run.

use std::fmt::Write;

use crate::load::result::{LoadResult, Quantiles};

/// Renders a run as text.
#[must_use]
pub fn render(result: &LoadResult) -> String {
    let mut out = String::new();
    let r = result;
    let _ = writeln!(
        out,
        "{} by {}: fault {}, seed {}, {} s, rate x{}, surge x{}",
        r.profile, r.router, r.fault, r.seed, r.seconds, r.rate, r.surge
    );
    let _ = writeln!(
        out,
        "requests {}  in time {}  goodput {:.1}/s  (in fault window {:.1}/s)",
        r.requests, r.good, r.goodput, r.goodput_in_fault
    );
    let _ = writeln!(out, "ends {:?}", r.ends);
    let _ = writeln!(
        out,
        "attempts per chat {:.3}  refused again {:.3}  wrong answers {}  most runs of a booking {}",
        r.attempts, r.refused_again, r.wrong, r.most_runs_of_key
    );
    let _ = writeln!(
        out,
        "recomputed {:.3} (floor {:.3})",
        r.recomputed, r.recomputed_floor
    );
    let _ = writeln!(
        out,
        "{:24} {:>7} {:>9} {:>9} {:>9} {:>9}",
        "ms", "count", "p50", "p95", "p99", "max"
    );
    for (name, q) in &r.first_token {
        row(&mut out, &format!("first token {name}"), q);
    }
    row(&mut out, "refusal", &r.refusal_time);
    for (name, q) in &r.by_customer {
        row(&mut out, name, q);
    }
    for line in &r.broken {
        let _ = writeln!(out, "broken: {line}");
    }
    out
}

fn row(out: &mut String, name: &str, q: &Quantiles) {
    let _ = writeln!(
        out,
        "{name:24} {:>7} {:>9.1} {:>9.1} {:>9.1} {:>9.1}",
        q.count, q.p50, q.p95, q.p99, q.max
    );
}
