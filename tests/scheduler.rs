//! Admission, placement, retries and quarantine: the scheduler under load, faults, random events and
//! recorded traces.

#[path = "scheduler/evacuation.rs"]
mod evacuation;
#[path = "scheduler/late_deaths.rs"]
mod late_deaths;
#[path = "scheduler/machine.rs"]
mod machine;
#[path = "scheduler/overload.rs"]
mod overload;
#[path = "scheduler/pauses.rs"]
mod pauses;
#[path = "scheduler/placement.rs"]
mod placement;
#[path = "scheduler/prefix_cache.rs"]
mod prefix_cache;
#[path = "scheduler/quarantine.rs"]
mod quarantine;
#[path = "scheduler/recovery.rs"]
mod recovery;
#[path = "scheduler/refusals.rs"]
mod refusals;
#[path = "scheduler/residency.rs"]
mod residency;
#[path = "scheduler/run_once.rs"]
mod run_once;
#[path = "scheduler/simulation.rs"]
mod simulation;
#[path = "scheduler/software.rs"]
mod software;
#[path = "scheduler/suspect_notices.rs"]
mod suspect_notices;
#[path = "scheduler/test_scheduler.rs"]
mod test_scheduler;
#[path = "scheduler/timing.rs"]
mod timing;
#[path = "scheduler/traces.rs"]
mod traces;
#[path = "scheduler/warm_up.rs"]
mod warm_up;
