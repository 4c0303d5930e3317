//! Open-loop load: schedules fixed in advance, latency counted from the intended start.

mod baseline;
mod caller;
mod fault;
mod floor;
mod plot;
mod profile;
mod prompts;
mod report;
mod result;
mod run;
mod trace;

pub use baseline::Baseline;
pub use caller::{Call, Caller, Fate, Sample};
pub use fault::FaultPlan;
pub use floor::{Floor, floor, ratio};
pub use plot::svg;
pub use profile::{Kind, Profile};
pub use prompts::{chat_body, prompt_messages};
pub use report::render;
pub use result::{LoadResult, Quantiles};
pub use run::{LoadOptions, run};
pub use trace::{Arrival, Trace};
