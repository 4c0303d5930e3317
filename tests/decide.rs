//! Admission, placement, retries and quarantine: the scheduler under load, faults, random events and
//! recorded traces.

#[path = "decide/machine.rs"]
mod machine;
#[path = "decide/overload.rs"]
mod overload;
#[path = "decide/placement.rs"]
mod placement;
#[path = "decide/quarantine.rs"]
mod quarantine;
#[path = "decide/refusals.rs"]
mod refusals;
#[path = "decide/simulation.rs"]
mod simulation;
#[path = "decide/timing.rs"]
mod timing;
#[path = "decide/traces.rs"]
mod traces;
