//! Even load on targets of which each chooser has only old observations.
//!
//! Many choosers send to the same targets and learn of each other's requests late. If each compared
//! the targets and took the least loaded, all would take the same one until the next observation.
//! Each therefore computes the [`Distribution`] that levels the targets if all choosers draw from
//! it alike, and draws from it. The module has no input or output; time and randomness are
//! parameters.

mod demand;
mod distribution;
mod domain_spill;
mod observation;
mod view;

pub use demand::Demand;
pub use distribution::Distribution;
pub use domain_spill::DomainSpill;
pub use observation::Observation;
pub use view::TargetView;
