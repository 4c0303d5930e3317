//! Open-loop load: requests start on a fixed schedule, and latency counts from the intended start.

mod caller;
mod fault;
mod floor;
mod plot;
mod profile;
mod prompts;
mod report;
mod result;
mod router;
mod run;
mod schedule;

pub use caller::{Caller, LoadRequest, Outcome, Sample};
pub use fault::FaultPlan;
pub use floor::{RecomputeFloor, ratio, recompute_floor};
pub use plot::svg;
pub use profile::{Profile, RequestKind};
pub use prompts::{chat_body, prompt_messages};
pub use report::render;
pub use result::{LoadResult, Quantiles};
pub use router::RouterKind;
pub use run::{LoadOptions, run};
pub use schedule::{Arrival, Schedule};
