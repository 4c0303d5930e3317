//! A small demonstration on loopback.

use std::time::Duration;

use crate::load::{Baseline, FaultPlan, LoadOptions, LoadResult, Profile, run};

/// Length of each of the two runs.
const LENGTH: Duration = Duration::from_secs(15);

/// Runs prompts that return after their engines forgot them, with and without stores.
///
/// # Errors
/// When the system cannot be started.
pub fn demo() -> eyre::Result<()> {
    println!("a platform, engines, stores and two entries run as threads of this process;");
    println!("prompts return after a gap longer than the engines' memory lasts\n");
    let with = run(&options(Baseline::System))?;
    let without = run(&options(Baseline::SystemWithoutStore))?;
    println!("{:28} {:>14} {:>14}", "", "with store", "without store");
    let row = |name: &str, of: &dyn Fn(&LoadResult) -> String| {
        println!("{name:28} {:>14} {:>14}", of(&with), of(&without));
    };
    row("prompts", &|r| r.first_token["turn"].count.to_string());
    row("returns", &|r| r.returns.to_string());
    row("first token p50, ms", &|r| {
        format!("{:.0}", r.first_token["turn"].p50)
    });
    row("first token p95, ms", &|r| {
        format!("{:.0}", r.first_token["turn"].p95)
    });
    row("share recomputed", &|r| {
        format!("{:.1} %", r.recomputed * 100.0)
    });
    row("link bytes", &|r| r.link_bytes.to_string());
    Ok(())
}

fn options(baseline: Baseline) -> LoadOptions {
    let profile = Profile {
        conversations: 3.0,
        questions: 0.5,
        bookings: 0.5,
        checks: 0.5,
        gap: Duration::from_secs(4),
        engines: (4, 1),
        cache_blocks: 20,
        services: 1,
        ..Profile::kammitsa()
    };
    LoadOptions {
        profile,
        baseline,
        fault: FaultPlan::None,
        seed: 1,
        length: LENGTH,
        rate: 1.0,
        surge: 1.0,
        entries: 2,
    }
}
