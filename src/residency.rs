//! Data residency: the regions in which requests may be processed.

mod allowed_domains;
mod region_map;
mod request_residency;

pub use allowed_domains::AllowedDomains;
pub use region_map::RegionMap;
pub use request_residency::RequestResidency;
