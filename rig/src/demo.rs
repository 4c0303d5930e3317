//! Demonstration on loopback: the system compared with a least-loaded router.

use std::time::Duration;

use crate::load::{FaultPlan, LoadOptions, LoadResult, Profile, RouterKind, run};

/// Length of the schedule of each run.
const SCHEDULE_LENGTH: Duration = Duration::from_secs(15);

/// Runs the same schedule of returning prompts with both routers and prints a comparison.
///
/// # Errors
/// When the system cannot be started.
pub fn demo() -> eyre::Result<()> {
    println!("a platform, engines and two entries run as threads of this process; prompts return");
    println!("after a gap, to guavahold and to a router that knows nothing but load\n");
    let system = run(&options(RouterKind::System))?;
    let least_loaded = run(&options(RouterKind::LeastLoaded))?;
    println!("{:28} {:>14} {:>14}", "", "guavahold", "least loaded");
    let row = |name: &str, of: &dyn Fn(&LoadResult) -> String| {
        println!("{name:28} {:>14} {:>14}", of(&system), of(&least_loaded));
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
    Ok(())
}

fn options(router: RouterKind) -> LoadOptions {
    let profile = Profile {
        conversations: 3.0,
        questions: 0.5,
        bookings: 0.5,
        checks: 0.5,
        gap: Duration::from_secs(4),
        engines: (4, 1),
        cache_blocks: 40,
        services: 1,
        ..Profile::kammitsa()
    };
    LoadOptions {
        profile,
        router,
        fault: FaultPlan::None,
        seed: 1,
        length: SCHEDULE_LENGTH,
        rate: 1.0,
        surge: 1.0,
        entries: 2,
    }
}
