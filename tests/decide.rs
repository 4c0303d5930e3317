//! The scheduler under load, faults and random events.

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
#[path = "decide/timing.rs"]
mod timing;
#[path = "decide/traces.rs"]
mod traces;
#[path = "decide/world.rs"]
mod world;
